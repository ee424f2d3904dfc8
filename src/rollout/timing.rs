use crate::clock::Millis;

use super::Outcome;

/// Arrival times of the tokens or events of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    started_at: Millis,
    first_token_at: Option<Millis>,
    last_token_at: Millis,
    tokens: u64,
}

impl Timing {
    /// Creates the timing of an attempt that starts now.
    #[must_use]
    pub fn start(now: Millis) -> Self {
        Self {
            started_at: now,
            first_token_at: None,
            last_token_at: now,
            tokens: 0,
        }
    }

    /// Records the arrival of a token, or of the whole response of a plain service.
    pub fn record_token(&mut self, now: Millis) {
        self.first_token_at.get_or_insert(now);
        self.last_token_at = now;
        self.tokens += 1;
    }

    /// Returns whether any token has arrived.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.first_token_at.is_some()
    }

    /// Returns the time since the start of the attempt.
    #[must_use]
    pub fn elapsed(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Returns the outcome of an attempt that was answered, as evidence about the version of its
    /// endpoint.
    #[must_use]
    pub fn answered(&self) -> Outcome {
        let first = self.first_token_at.unwrap_or(self.last_token_at);
        let gaps = self.tokens.saturating_sub(1);
        let between = (self.last_token_at - first).as_u64() * 1_000;
        Outcome::Answered {
            first: first - self.started_at,
            gap_us: between.checked_div(gaps).unwrap_or(0),
        }
    }
}
