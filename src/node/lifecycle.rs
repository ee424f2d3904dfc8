use tokio::sync::watch;

use crate::clock::Millis;

/// How far a node process is in its life, as its requests and dumps see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Stage {
    Serving,
    Draining,
    HandingOver,
    Stopped,
}

/// What operators, signals and the platform ask of a node process; only ever raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownRequest {
    None,
    /// Finish all calls, then stop.
    Drain,
    /// Give all calls away within the time, then stop.
    HandOver(Millis),
}

/// Reads and directs the life of a node process.
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
    /// Returns the present stage.
    pub(super) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Asks for an end of the process; a weaker request than an earlier one has no effect.
    pub(super) fn request(&self, requested: ShutdownRequest) {
        self.requested.send_if_modified(|present| {
            let raises = match (*present, requested) {
                (ShutdownRequest::HandOver(_), _) => false,
                (present, requested) => requested > present,
            };
            if raises {
                *present = requested;
            }
            raises
        });
    }

    /// Asks for a drain, and for a handover within `bound` when a drain was asked for before.
    pub(super) fn escalate(&self, bound: Millis) {
        let drains = *self.requested.borrow() >= ShutdownRequest::Drain;
        self.request(if drains {
            ShutdownRequest::HandOver(bound)
        } else {
            ShutdownRequest::Drain
        });
    }

    /// Begins the life of the process.
    pub(super) fn start(&self) -> Process<'_, Serving> {
        Process {
            lifecycle: self,
            state: Serving,
        }
    }
}

/// The process serves.
pub(super) struct Serving;

/// The process finishes its calls; new callers are sent elsewhere.
pub(super) struct Draining;

/// The process gives its calls away and has to be gone by a time.
pub(super) struct HandingOver {
    /// Time for all of it.
    pub(super) bound: Millis,
}

/// The life of a process in the state `S`; each state has only the transitions that exist.
pub(super) struct Process<'a, S> {
    lifecycle: &'a Lifecycle,
    pub(super) state: S,
}

/// What follows after [`Serving`].
pub(super) enum NextState<'a> {
    Drain(Process<'a, Draining>),
    HandOver(Process<'a, HandingOver>),
}

impl<'a> Process<'a, Serving> {
    /// Waits until the process is asked to end.
    pub(super) async fn shutdown_requested(self) -> NextState<'a> {
        let mut requested = self.lifecycle.requested.subscribe();
        // The sender lives as long as the lifecycle.
        let _ = requested
            .wait_for(|requested| *requested > ShutdownRequest::None)
            .await;
        let requested = *requested.borrow();
        match requested {
            ShutdownRequest::HandOver(bound) => {
                NextState::HandOver(self.enter(Stage::HandingOver, HandingOver { bound }))
            }
            ShutdownRequest::None | ShutdownRequest::Drain => {
                NextState::Drain(self.enter(Stage::Draining, Draining))
            }
        }
    }
}

impl<'a> Process<'a, Draining> {
    /// Waits until a handover is asked for, and returns the time for it.
    pub(super) async fn handover_requested(&self) -> Millis {
        let mut requested = self.lifecycle.requested.subscribe();
        loop {
            if let ShutdownRequest::HandOver(bound) = *requested.borrow_and_update() {
                return bound;
            }
            // The sender lives as long as the lifecycle.
            let _ = requested.changed().await;
        }
    }

    /// Gives the calls away that are left.
    pub(super) fn hand_over(self, bound: Millis) -> Process<'a, HandingOver> {
        self.enter(Stage::HandingOver, HandingOver { bound })
    }

    /// Ends the process: nothing is left.
    pub(super) fn stop(self) {
        self.enter(Stage::Stopped, ());
    }
}

impl Process<'_, HandingOver> {
    /// Ends the process.
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
