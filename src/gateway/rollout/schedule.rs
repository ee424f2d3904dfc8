use crate::clock::Millis;

/// Time between the deadline and the moment from which a promoted version gets all requests, so that
/// those at the other endpoints end before the completion is recorded.
const SWITCH_LEAD: Portion = Portion::new(Millis(1_050), 10);

/// Time between the deadline and the record of the completion, upon which the other endpoints end.
const COMPLETION_LEAD: Portion = Portion::new(Millis(700), 14);

/// Time before the deadline at which a completion can't be recorded in time any more.
const RECORD_MARGIN: Portion = Portion::new(Millis(250), 40);

/// Time in which all nodes learn of a promotion, before its requests move.
const NEWS_TIME: Portion = Portion::new(Millis(2_400), 6);

/// Time in which the counters of all nodes reach the node that promotes the version.
const REPORT_TIME: Portion = Portion::new(Millis(1_800), 10);

/// Time for which a few endpoints get the requests of general use: long enough for them to be as loaded,
/// and to show whether they fail then.
const LOAD_TIME: Portion = Portion::new(Millis(1_200), 8);

/// A time that is shorter in a short rollout.
#[derive(Clone, Copy, Debug)]
struct Portion {
    most: Millis,
    /// Divisor of the rollout's duration; the time is at most the quotient.
    divisor: u64,
}

impl Portion {
    const fn new(most: Millis, divisor: u64) -> Self {
        Self { most, divisor }
    }

    fn of(self, duration: Millis) -> Millis {
        self.most.min(Millis(duration.0 / self.divisor))
    }
}

/// The part of a rollout in which a moment lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// A few requests show whether the version is bad at any load.
    Early,
    /// A few endpoints get as many requests as in general use for some time, and few requests after it.
    Load,
    /// The version may be promoted, or is, and gets few requests.
    Decision,
    /// A promoted version gets all requests.
    Switch,
}

/// The times of a rollout's steps, which all nodes derive from its order. All are wall times of the
/// cluster.
///
/// The nodes learn of a promotion before it takes effect, and all switch at the same moment. What the
/// version gets under load, and from the switch to the deadline, together stays within the share of the
/// requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    started: Millis,
    duration: Millis,
}

impl Schedule {
    /// Returns the times of a rollout of this duration.
    #[must_use]
    pub fn new(started: Millis, duration: Millis) -> Self {
        Self { started, duration }
    }

    /// Returns when the order became known.
    #[must_use]
    pub fn started(&self) -> Millis {
        self.started
    }

    /// Returns when the rollout has to be completed.
    #[must_use]
    pub fn deadline(&self) -> Millis {
        self.started + self.duration
    }

    /// Returns from when on a few endpoints get the load of general use.
    #[must_use]
    pub fn load_from(&self) -> Millis {
        self.promote_from() - REPORT_TIME.of(self.duration) - self.load_time()
    }

    /// Returns for how long they get it.
    #[must_use]
    pub fn load_time(&self) -> Millis {
        LOAD_TIME.of(self.duration)
    }

    /// Returns how much of the time from the load to the switch has passed, 0 to 1.
    #[must_use]
    pub fn load_progress(&self, wall: Millis) -> f64 {
        let (from, to) = (self.load_from(), self.switch_at());
        let passed = (wall - from).as_f64() / (to - from).as_f64().max(1.0);
        passed.clamp(0.0, 1.0)
    }

    /// Returns from when on the version may be promoted.
    #[must_use]
    pub fn promote_from(&self) -> Millis {
        self.switch_at() - NEWS_TIME.of(self.duration)
    }

    /// Returns when all requests move to a promoted version. One that is not promoted by then is
    /// reverted.
    #[must_use]
    pub fn switch_at(&self) -> Millis {
        self.before_deadline(SWITCH_LEAD)
    }

    /// Returns when the completion is recorded.
    #[must_use]
    pub fn complete_at(&self) -> Millis {
        self.before_deadline(COMPLETION_LEAD)
    }

    /// Returns from when on a completion is not recorded any more.
    #[must_use]
    pub fn give_up_at(&self) -> Millis {
        self.before_deadline(RECORD_MARGIN)
    }

    /// Returns the part in which a moment lies.
    #[must_use]
    pub fn phase(&self, wall: Millis) -> Phase {
        if wall >= self.switch_at() {
            Phase::Switch
        } else if wall >= self.promote_from() {
            Phase::Decision
        } else if wall >= self.load_from() {
            Phase::Load
        } else {
            Phase::Early
        }
    }

    fn before_deadline(&self, time: Portion) -> Millis {
        self.deadline() - time.of(self.duration)
    }
}
