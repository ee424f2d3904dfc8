use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use futures::Stream;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::sse;

use crate::endpoint::{Done, Generate, Start, Token};

use super::token_text;

/// Lifecycle stage of a sampling run; the error event of a connection contains its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Running,
    Done,
    Cancelled,
    Exported,
}

/// The KV cache of a sampling run, as another engine reads it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Exported {
    #[serde(rename = "order")]
    pub(super) request: Generate,
    pub(super) tokens: Vec<Arc<str>>,
}

/// A sampling run: the generation of one stream of tokens.
#[derive(Debug)]
pub(super) struct Sampling {
    pub(super) handle: Arc<str>,
    pub(super) request: Generate,
    tokens: Mutex<Vec<Arc<str>>>,
    stage: watch::Sender<Stage>,
    /// Number of tokens; also notified when the stage changes.
    length: watch::Sender<usize>,
}

impl Sampling {
    /// Creates a sampling run that continues after the tokens given in the request.
    pub(super) fn new(handle: Arc<str>, request: Generate) -> Self {
        Self {
            handle,
            tokens: Mutex::new(request.generated.clone()),
            stage: watch::Sender::new(Stage::Running),
            length: watch::Sender::new(request.generated.len()),
            request,
        }
    }

    /// Generates one token; returns false when the run has ended.
    pub(super) fn generate_token(&self) -> bool {
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

    /// Ends the run with this stage, unless it has ended already.
    pub(super) fn end(&self, stage: Stage) {
        let tokens = self.tokens.lock().expect("tokens lock");
        if *self.stage.borrow() == Stage::Running {
            self.stage.send_replace(stage);
            self.length.send_modify(|_| ());
        }
        drop(tokens);
    }

    /// Returns the current stage.
    pub(super) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns the KV cache.
    pub(super) fn exported(&self) -> Exported {
        Exported {
            request: self.request.clone(),
            tokens: self.tokens.lock().expect("tokens lock").clone(),
        }
    }
}

/// A connection over which the tokens of a sampling run are sent.
pub(super) struct Connection {
    pub(super) sampling: Arc<Sampling>,
    /// Start event to send first; `None` on a connection that reattaches.
    pub(super) start: Option<Start>,
    /// Offset of the next token to send.
    pub(super) from: usize,
    /// Changes when the connections that are open at that time have to stall.
    pub(super) stalls: watch::Receiver<u64>,
}

impl Connection {
    /// Returns the start event, if any, and the tokens from the connection's offset on.
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
                let (event, ended) = this.next_event(&mut length).await;
                if this.stalls.has_changed().unwrap_or(false) {
                    // A stalled connection stays open but sends nothing more; new connections work.
                    std::future::pending::<()>().await;
                }
                Some((Ok(event), (this, length, ended)))
            },
        )
    }

    /// Waits for the next event and returns it and whether it is the last.
    async fn next_event(&mut self, length: &mut watch::Receiver<usize>) -> (sse::Event, bool) {
        if let Some(start) = self.start.take() {
            return (json_event("start", &start), false);
        }
        loop {
            length.borrow_and_update();
            let stage = self.sampling.stage();
            if let Some(text) = self.next_token() {
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
            // Cannot fail: `self.sampling` owns the sender.
            let _ = length.changed().await;
        }
    }

    fn next_token(&self) -> Option<Arc<str>> {
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
