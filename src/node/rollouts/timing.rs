use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::rollout::Outcome;
use crate::verdict::Verdict;

/// When the tokens of one attempt came.
#[derive(Debug)]
pub(in crate::node) struct Timing {
    start: Millis,
    first: Option<Millis>,
    last: Millis,
    tokens: u64,
}

impl Timing {
    /// Starts an attempt.
    pub(in crate::node) fn start(now: Millis) -> Self {
        Self {
            start: now,
            first: None,
            last: now,
            tokens: 0,
        }
    }

    /// Notes a token, or the whole answer of a plain service.
    pub(in crate::node) fn record_token(&mut self, now: Millis) {
        self.first.get_or_insert(now);
        self.last = now;
        self.tokens += 1;
    }

    /// Returns what the attempt says about the version of its endpoint.
    pub(in crate::node) fn outcome(&self, error: Option<&Error>) -> Outcome {
        if let Some(error) = error {
            return failure(error);
        }
        let first = self.first.unwrap_or(self.last);
        let gaps = self.tokens.saturating_sub(1);
        let between = (self.last - first).as_u64() * 1_000;
        Outcome::Answered {
            first: first - self.start,
            gap_us: between.checked_div(gaps).unwrap_or(0),
        }
    }
}

/// A lost connection may mean a lost host; an answer shows that the host is there.
fn failure(error: &Error) -> Outcome {
    match (error.kind(), error.verdict()) {
        (ErrorKind::DeadlineExceeded | ErrorKind::NotFound | ErrorKind::Leaving, _) => {
            Outcome::Inconclusive
        }
        (ErrorKind::Unavailable, Verdict::NotRun) => Outcome::Unreachable,
        _ => Outcome::Failed,
    }
}
