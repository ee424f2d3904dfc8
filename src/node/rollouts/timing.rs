use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::rollout::Outcome;
use crate::verdict::Verdict;

/// Arrival times of the tokens of one attempt.
#[derive(Debug)]
pub(in crate::node) struct Timing {
    started_at: Millis,
    first_token_at: Option<Millis>,
    last_token_at: Millis,
    tokens: u64,
}

impl Timing {
    /// Creates the timing of an attempt that starts now.
    pub(in crate::node) fn start(now: Millis) -> Self {
        Self {
            started_at: now,
            first_token_at: None,
            last_token_at: now,
            tokens: 0,
        }
    }

    /// Records the arrival of a token, or of the whole response of a plain service.
    pub(in crate::node) fn record_token(&mut self, now: Millis) {
        self.first_token_at.get_or_insert(now);
        self.last_token_at = now;
        self.tokens += 1;
    }

    /// Returns the outcome of the attempt, as evidence about the version of its endpoint.
    pub(in crate::node) fn outcome(&self, error: Option<&Error>) -> Outcome {
        if let Some(error) = error {
            return failure_outcome(error);
        }
        let first = self.first_token_at.unwrap_or(self.last_token_at);
        let gaps = self.tokens.saturating_sub(1);
        let between = (self.last_token_at - first).as_u64() * 1_000;
        Outcome::Answered {
            first: first - self.started_at,
            gap_us: between.checked_div(gaps).unwrap_or(0),
        }
    }
}

/// Classifies a failed attempt.
///
/// A lost connection may mean that the host was lost, whereas an error response shows that the host
/// is reachable.
fn failure_outcome(error: &Error) -> Outcome {
    match (error.kind(), error.verdict()) {
        (ErrorKind::DeadlineExceeded | ErrorKind::NotFound | ErrorKind::Leaving, _) => {
            Outcome::Inconclusive
        }
        (ErrorKind::Unavailable, Verdict::NotRun) => Outcome::Unreachable,
        _ => Outcome::Failed,
    }
}
