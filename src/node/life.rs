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
pub(super) enum Wanted {
    Serve,
    /// Finish all calls, then stop.
    Drain,
    /// Give all calls away within the time, then stop.
    HandOver(Millis),
}

/// Reads and directs the life of a node process.
#[derive(Debug)]
pub(super) struct Control {
    stage: watch::Sender<Stage>,
    wanted: watch::Sender<Wanted>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(Stage::Serving),
            wanted: watch::Sender::new(Wanted::Serve),
        }
    }
}

impl Control {
    /// Returns the present stage.
    pub(super) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Asks for an end of the process; a weaker request than an earlier one has no effect.
    pub(super) fn ask(&self, wanted: Wanted) {
        self.wanted.send_if_modified(|present| {
            let raises = match (*present, wanted) {
                (Wanted::HandOver(_), _) => false,
                (present, wanted) => wanted > present,
            };
            if raises {
                *present = wanted;
            }
            raises
        });
    }

    /// Asks for a drain, and for a handover within `bound` when a drain was asked for before.
    pub(super) fn ask_more(&self, bound: Millis) {
        let drains = *self.wanted.borrow() >= Wanted::Drain;
        self.ask(if drains {
            Wanted::HandOver(bound)
        } else {
            Wanted::Drain
        });
    }

    /// Begins the life of the process.
    pub(super) fn start(&self) -> Life<'_, Serving> {
        Life {
            control: self,
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
pub(super) struct Life<'a, S> {
    control: &'a Control,
    pub(super) state: S,
}

/// What follows after [`Serving`].
pub(super) enum Leaving<'a> {
    Drain(Life<'a, Draining>),
    HandOver(Life<'a, HandingOver>),
}

impl<'a> Life<'a, Serving> {
    /// Waits until the process is asked to end.
    pub(super) async fn asked(self) -> Leaving<'a> {
        let mut wanted = self.control.wanted.subscribe();
        // The sender lives as long as the control.
        let _ = wanted.wait_for(|wanted| *wanted > Wanted::Serve).await;
        let wanted = *wanted.borrow();
        match wanted {
            Wanted::HandOver(bound) => {
                Leaving::HandOver(self.enter(Stage::HandingOver, HandingOver { bound }))
            }
            Wanted::Serve | Wanted::Drain => Leaving::Drain(self.enter(Stage::Draining, Draining)),
        }
    }
}

impl<'a> Life<'a, Draining> {
    /// Waits until a handover is asked for, and returns the time for it.
    pub(super) async fn hurried(&self) -> Millis {
        let mut wanted = self.control.wanted.subscribe();
        loop {
            if let Wanted::HandOver(bound) = *wanted.borrow_and_update() {
                return bound;
            }
            // The sender lives as long as the control.
            let _ = wanted.changed().await;
        }
    }

    /// Gives the calls away that are left.
    pub(super) fn hand_over(self, bound: Millis) -> Life<'a, HandingOver> {
        self.enter(Stage::HandingOver, HandingOver { bound })
    }

    /// Ends the process: nothing is left.
    pub(super) fn stop(self) {
        self.enter(Stage::Stopped, ());
    }
}

impl Life<'_, HandingOver> {
    /// Ends the process.
    pub(super) fn stop(self) {
        self.enter(Stage::Stopped, ());
    }
}

impl<'a, S> Life<'a, S> {
    fn enter<T>(self, stage: Stage, state: T) -> Life<'a, T> {
        self.control.stage.send_replace(stage);
        Life {
            control: self.control,
            state,
        }
    }
}
