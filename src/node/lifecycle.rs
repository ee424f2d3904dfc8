use tokio::sync::watch;

use crate::clock::Millis;

/// The stage of a node process, as request handling and dumps see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Stage {
    Serving,
    Draining,
    HandingOver,
    Stopped,
}

/// The shutdown that operators, signals and the platform request; it can only be escalated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownRequest {
    None,
    /// Finish all requests, then stop.
    Drain,
    /// Hand all responses over to other nodes within the time, then stop.
    HandOver(Millis),
}

/// The lifecycle of a node process: its stage and the requested shutdown.
#[derive(Debug)]
pub(super) struct Lifecycle {
    stage: watch::Sender<Stage>,
    requested: watch::Sender<ShutdownRequest>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(Stage::Serving),
            requested: watch::Sender::new(ShutdownRequest::None),
        }
    }
}

impl Lifecycle {
    /// Returns the current stage.
    pub(super) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Requests a shutdown; a request weaker than an earlier one has no effect.
    pub(super) fn request(&self, requested: ShutdownRequest) {
        self.requested.send_if_modified(|current| {
            let escalates = match (*current, requested) {
                (ShutdownRequest::HandOver(_), _) => false,
                (current, requested) => requested > current,
            };
            if escalates {
                *current = requested;
            }
            escalates
        });
    }

    /// Requests a drain, or a handover within `timeout` if a drain was requested before.
    pub(super) fn escalate(&self, timeout: Millis) {
        let draining = *self.requested.borrow() >= ShutdownRequest::Drain;
        self.request(if draining {
            ShutdownRequest::HandOver(timeout)
        } else {
            ShutdownRequest::Drain
        });
    }

    /// Starts the lifecycle of the process.
    pub(super) fn start(&self) -> Process<'_, Serving> {
        Process {
            lifecycle: self,
            state: Serving,
        }
    }
}

/// The process accepts and serves requests.
pub(super) struct Serving;

/// The process finishes its requests; new callers are directed to other nodes.
pub(super) struct Draining;

/// The process hands its responses over to other nodes before it has to exit.
pub(super) struct HandingOver {
    /// Time from the request until the process has to be gone.
    pub(super) timeout: Millis,
}

/// A process in the state `S`; each state has only the transitions that exist.
pub(super) struct Process<'a, S> {
    lifecycle: &'a Lifecycle,
    pub(super) state: S,
}

/// The state that follows [`Serving`].
pub(super) enum NextState<'a> {
    Drain(Process<'a, Draining>),
    HandOver(Process<'a, HandingOver>),
}

impl<'a> Process<'a, Serving> {
    /// Waits until a shutdown is requested.
    pub(super) async fn shutdown_requested(self) -> NextState<'a> {
        let mut requested = self.lifecycle.requested.subscribe();
        // The sender lives as long as the lifecycle.
        let _ = requested
            .wait_for(|requested| *requested > ShutdownRequest::None)
            .await;
        let requested = *requested.borrow();
        match requested {
            ShutdownRequest::HandOver(timeout) => {
                NextState::HandOver(self.enter(Stage::HandingOver, HandingOver { timeout }))
            }
            ShutdownRequest::None | ShutdownRequest::Drain => {
                NextState::Drain(self.enter(Stage::Draining, Draining))
            }
        }
    }
}

impl<'a> Process<'a, Draining> {
    /// Waits until a handover is requested, and returns its timeout.
    pub(super) async fn handover_requested(&self) -> Millis {
        let mut requested = self.lifecycle.requested.subscribe();
        loop {
            if let ShutdownRequest::HandOver(timeout) = *requested.borrow_and_update() {
                return timeout;
            }
            // The sender lives as long as the lifecycle.
            let _ = requested.changed().await;
        }
    }

    /// Hands the remaining responses over.
    pub(super) fn hand_over(self, timeout: Millis) -> Process<'a, HandingOver> {
        self.enter(Stage::HandingOver, HandingOver { timeout })
    }

    /// Stops the process, which has no work left.
    pub(super) fn stop(self) {
        self.enter(Stage::Stopped, ());
    }
}

impl Process<'_, HandingOver> {
    /// Stops the process.
    pub(super) fn stop(self) {
        self.enter(Stage::Stopped, ());
    }
}

impl<'a, S> Process<'a, S> {
    fn enter<T>(self, stage: Stage, state: T) -> Process<'a, T> {
        self.lifecycle.stage.send_replace(stage);
        Process {
            lifecycle: self.lifecycle,
            state,
        }
    }
}
