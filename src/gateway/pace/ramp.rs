//! Load answered: all nodes send to an endpoint that has just started or recovered, because it looks
//! idle to each of them.

use crate::clock::Millis;

use super::Place;

/// Time in which the pace doubles, while no answer speaks against it.
const DOUBLING_TIME: Millis = Millis(250);

/// Shortest time between two answers that move the pace: answers to requests that were sent together
/// say the same.
const ANSWER_INTERVAL: Millis = Millis(125);

/// Doublings after which the pace is not limited any more.
const DOUBLINGS: u64 = 4;

/// The growing pace of an endpoint, and this node's share in it.
///
/// In the first second it gets as many requests as it has slots, then ever more. A report of the
/// endpoint without a queue makes the pace grow faster, one with a queue makes it fall.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// Requests per second of all nodes at the beginning.
    initial: f64,
    began: Millis,
    /// When an answer last moved the pace.
    moved_at: Millis,
    /// Requests that this node has sent since.
    sent: u32,
}

/// Updates.
impl Ramp {
    /// Creates the pace of an endpoint that starts or has recovered.
    #[must_use]
    pub fn new(slots: u32, now: Millis) -> Self {
        Self {
            initial: f64::from(slots.max(1)),
            began: now,
            moved_at: now,
            sent: 0,
        }
    }

    /// Records that this node sent a request.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records an answer of the endpoint, and whether it reported a queue.
    pub fn record_answer(&mut self, has_queue: bool, now: Millis) {
        if now - self.moved_at < ANSWER_INTERVAL {
            return;
        }
        self.moved_at = now;
        self.began = if has_queue {
            (self.began + DOUBLING_TIME).min(now)
        } else {
            self.began - DOUBLING_TIME
        };
    }

    /// Records a failed request: the pace starts again, at half of what it started with.
    pub fn record_failure(&mut self, now: Millis) {
        *self = Self {
            initial: (self.initial / 2.0).max(1.0),
            began: now,
            moved_at: now,
            sent: 0,
        };
    }
}

/// Decisions.
impl Ramp {
    /// Returns whether the pace is not limited any more.
    #[must_use]
    pub fn has_ended(&self, now: Millis) -> bool {
        (now - self.began).0 >= DOUBLING_TIME.0 * DOUBLINGS
    }

    /// Returns whether the node at this place may send a request. `offset` shifts the order of the
    /// nodes, which begin at different endpoints.
    #[must_use]
    pub fn admits(&self, place: Place, offset: u64, now: Millis) -> bool {
        if self.has_ended(now) {
            return true;
        }
        let passed = now - self.began;
        let nodes = place.nodes.max(1) as u64;
        let rank = (place.index as u64 + offset % nodes) % nodes;
        // The nodes begin one after the other, the last one in the order at once.
        let share = (self.requests_within(passed) + rank as f64 + 1.0) / nodes as f64;
        f64::from(self.sent + 1) <= share
    }

    /// Returns the number of requests that all nodes together may send within a time.
    fn requests_within(&self, passed: Millis) -> f64 {
        let doublings = passed.as_f64() / DOUBLING_TIME.as_f64();
        let time_constant_s = DOUBLING_TIME.as_f64() / 1_000.0 / std::f64::consts::LN_2;
        self.initial * time_constant_s * (doublings.exp2() - 1.0)
    }
}
