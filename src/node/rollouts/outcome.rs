use crate::error::{Error, ErrorKind};
use crate::rollout::{Outcome, Timing};
use crate::verdict::Verdict;

/// Returns the outcome of an attempt, as evidence about the version of its endpoint.
pub(in crate::node) fn outcome(timing: &Timing, error: Option<&Error>) -> Outcome {
    error.map_or_else(|| timing.answered(), failure_outcome)
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
