use crate::clock::Millis;

/// Time in which the memory of failures halves.
const HALF_LIFE: Millis = Millis(3_000);

/// Failed contacts in a row after which an endpoint gets no work for a while.
const FAILURES_TO_BLOCK: u32 = 2;

const FIRST_BLOCK: Millis = Millis(400);
const LONGEST_BLOCK: Millis = Millis(3_000);

/// What the outcomes of requests say about an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failed: f64,
    total: f64,
    updated: Millis,
    /// Contacts in a row without any answer.
    silent: u32,
    blocked_until: Millis,
}

impl Health {
    /// Notes an answer and whether it was a failure.
    pub fn record_answer(&mut self, failed: bool, now: Millis) {
        self.decay(now);
        self.total += 1.0;
        self.failed += f64::from(u8::from(failed));
        self.silent = 0;
        self.blocked_until = Millis::ZERO;
    }

    /// Notes a connection that could not be made, broke, or stayed silent; returns whether the
    /// endpoint gets no work from now on.
    pub fn record_no_answer(&mut self, now: Millis) -> bool {
        self.decay(now);
        self.total += 1.0;
        self.failed += 1.0;
        self.silent += 1;
        if self.silent < FAILURES_TO_BLOCK {
            return false;
        }
        let doublings = (self.silent - FAILURES_TO_BLOCK).min(4);
        let block = Millis(FIRST_BLOCK.0 << doublings).min(LONGEST_BLOCK);
        self.blocked_until = now + block;
        true
    }

    /// Returns whether the endpoint gets no work now. When a block ends, one request at a time
    /// tries the endpoint, since each failure extends the block.
    #[must_use]
    pub fn is_blocked(&self, now: Millis, inflight: u32) -> bool {
        if self.silent < FAILURES_TO_BLOCK {
            return false;
        }
        now < self.blocked_until || inflight > 0
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self, now: Millis) -> f64 {
        // The constant keeps a single failure from standing for all requests.
        let weight = self.weight(now);
        self.failed * weight / (self.total * weight + 3.0)
    }

    fn weight(&self, now: Millis) -> f64 {
        (-(now - self.updated).as_f64() / HALF_LIFE.as_f64()).exp2()
    }

    fn decay(&mut self, now: Millis) {
        let weight = self.weight(now);
        self.failed *= weight;
        self.total *= weight;
        self.updated = now;
    }
}
