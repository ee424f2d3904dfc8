use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use uuid::Uuid;

use crate::error::Error;

/// One generated token of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that generated it, from 1.
    pub attempt: u32,
    /// Position in the response, from 0.
    pub offset: u32,
    /// The text.
    pub text: Arc<str>,
}

/// Where a response is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// More chunks will come.
    Running,
    /// The response is complete.
    Done,
    /// The response failed.
    Failed(Error),
}

/// A response and its progress.
#[derive(Debug)]
pub struct Entry {
    /// Id of the request.
    pub id: Uuid,
    /// Client account that may read it.
    pub account: Arc<str>,
    state: std::sync::Mutex<State>,
    progress: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    attempt: u32,
    chunks: Vec<Chunk>,
    phase: Phase,
}

impl Entry {
    /// Creates an empty response.
    #[must_use]
    pub fn new(id: Uuid, account: Arc<str>) -> Self {
        Self {
            id,
            account,
            state: std::sync::Mutex::new(State {
                attempt: 0,
                chunks: Vec::new(),
                phase: Phase::Running,
            }),
            progress: watch::Sender::new(0),
        }
    }

    /// Begins the next attempt, which continues after the chunks so far, and returns its number.
    pub fn begin(&self) -> u32 {
        let mut state = self.state.lock().expect("stream state lock");
        state.attempt += 1;
        state.attempt
    }

    /// Appends a chunk; one of an earlier attempt or not at the end is dropped.
    pub fn push(&self, chunk: Chunk) -> bool {
        let mut state = self.state.lock().expect("stream state lock");
        let expected = state.chunks.len();
        if chunk.attempt != state.attempt || chunk.offset as usize != expected {
            return false;
        }
        state.chunks.push(chunk);
        drop(state);
        self.notify();
        true
    }

    /// Ends the response.
    pub fn finish(&self, phase: Phase) {
        self.state.lock().expect("stream state lock").phase = phase;
        self.notify();
    }

    /// Returns the chunks from `offset` on, and the phase.
    #[must_use]
    pub fn read(&self, offset: u32) -> (Vec<Chunk>, Phase) {
        let state = self.state.lock().expect("stream state lock");
        let chunks = state.chunks.get(offset as usize..).unwrap_or_default();
        (chunks.to_vec(), state.phase.clone())
    }

    /// Returns the texts so far.
    #[must_use]
    pub fn texts(&self) -> Vec<Arc<str>> {
        let state = self.state.lock().expect("stream state lock");
        state.chunks.iter().map(|c| Arc::clone(&c.text)).collect()
    }

    /// Returns a receiver that changes with each chunk and with the end.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    fn notify(&self) {
        self.progress.send_modify(|version| *version += 1);
    }
}
