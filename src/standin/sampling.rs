use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use futures::Stream;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::sse;

use crate::endpoint::{Done, Generate, Start, Token};

use super::token_text;

/// Where a sampling is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Running,
    Done,
    Cancelled,
    Exported,
}

/// The KV cache of a stream, as another engine reads it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Exported {
    pub(super) order: Generate,
    pub(super) tokens: Vec<Arc<str>>,
}

/// One stream of generated tokens.
#[derive(Debug)]
pub(super) struct Sampling {
    pub(super) handle: Arc<str>,
    pub(super) order: Generate,
    tokens: Mutex<Vec<Arc<str>>>,
    stage: watch::Sender<Stage>,
    length: watch::Sender<usize>,
}

impl Sampling {
    /// Begins after the tokens that the order names.
    pub(super) fn new(handle: Arc<str>, order: Generate) -> Self {
        Self {
            handle,
            tokens: Mutex::new(order.generated.clone()),
            stage: watch::Sender::new(Stage::Running),
            length: watch::Sender::new(order.generated.len()),
            order,
        }
    }

    /// Generates one token; false when the sampling has ended.
    pub(super) fn step(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("tokens lock");
        if *self.stage.borrow() != Stage::Running {
            return false;
        }
        let name = &self.handle[..8];
        let text = token_text(tokens.len(), name, tokens.last().map(|text| &**text));
        tokens.push(text);
        self.length.send_replace(tokens.len());
        true
    }

    /// Ends the sampling unless it has ended.
    pub(super) fn end(&self, stage: Stage) {
        let tokens = self.tokens.lock().expect("tokens lock");
        if *self.stage.borrow() == Stage::Running {
            self.stage.send_replace(stage);
            self.length.send_modify(|_| ());
        }
        drop(tokens);
    }

    pub(super) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub(super) fn exported(&self) -> Exported {
        Exported {
            order: self.order.clone(),
            tokens: self.tokens.lock().expect("tokens lock").clone(),
        }
    }
}

/// A connection on which a sampling is sent.
pub(super) struct Connection {
    pub(super) sampling: Arc<Sampling>,
    pub(super) start: Option<Start>,
    pub(super) from: usize,
    pub(super) stalls: watch::Receiver<u64>,
}

impl Connection {
    /// Returns the events from the connection's offset on.
    pub(super) fn events(
        mut self,
    ) -> impl Stream<Item = Result<sse::Event, Infallible>> + Send + Sync + 'static {
        self.stalls.borrow_and_update();
        let length = self.sampling.length.subscribe();
        futures::stream::unfold(
            (self, length, false),
            |(mut this, mut length, ended)| async move {
                if ended {
                    return None;
                }
                let (event, ended) = this.next(&mut length).await;
                if this.stalls.has_changed().unwrap_or(false) {
                    // A stalled connection stays open and silent; a new one works.
                    std::future::pending::<()>().await;
                }
                Some((Ok(event), (this, length, ended)))
            },
        )
    }

    async fn next(&mut self, length: &mut watch::Receiver<usize>) -> (sse::Event, bool) {
        if let Some(start) = self.start.take() {
            return (json_event("start", &start), false);
        }
        loop {
            length.borrow_and_update();
            let stage = self.sampling.stage();
            if let Some(text) = self.token() {
                let offset = u32::try_from(self.from).unwrap_or(u32::MAX);
                self.from += 1;
                return (json_event("token", &Token { offset, text }), false);
            }
            match stage {
                Stage::Running => {}
                Stage::Done => {
                    let tokens = u32::try_from(self.from).unwrap_or(u32::MAX);
                    return (json_event("done", &Done { tokens }), true);
                }
                Stage::Cancelled | Stage::Exported => {
                    let body = serde_json::json!({ "message": format!("{stage:?}") });
                    return (json_event("error", &body), true);
                }
            }
            // The sender lives as long as the sampling.
            let _ = length.changed().await;
        }
    }

    fn token(&self) -> Option<Arc<str>> {
        let tokens = self.sampling.tokens.lock().expect("tokens lock");
        tokens.get(self.from).cloned()
    }
}

fn json_event<T>(name: &str, data: &T) -> sse::Event
where
    T: Serialize,
{
    let data = serde_json::to_string(data).unwrap_or_default();
    sse::Event::default().event(name).data(data)
}
