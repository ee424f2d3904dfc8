use crate::log::writer;

use super::{Digest, Key, MAX_ENTRIES, Outcome, Projection, State};

/// Next step of a node for a call, determined from the state that the node has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Append `accept` and `dispatch`.
    Accept,
    /// Append `dispatch`; the key is already accepted.
    Dispatch,
    /// Wait for the end of another attempt, which may send or has sent the call, and never send.
    Await(writer::Key),
    /// Respond with the outcome of the call.
    Finished(Outcome),
    /// Respond that the call did not run and never will.
    Void,
    /// Refuse the call, which did not run and never will: the key is bound to another account,
    /// route or body.
    Reused,
    /// Refuse the call because the table is full.
    Full,
    /// Refuse the call because its key is at or below the horizon; it may have run before.
    Expired,
}

impl NextStep {
    /// Determines the next step for a key.
    ///
    /// `Finished`, `Void` and `Reused` are final, so they are valid even when the reader lags
    /// behind the end of the stream. The effect of the following append settles the others.
    #[must_use]
    pub fn new(projection: &Projection, key: Key, digest: Digest) -> Self {
        if key.time() <= projection.horizon() {
            return Self::Expired;
        }
        let Some(entry) = projection.get(key) else {
            let full = projection.len() >= MAX_ENTRIES;
            return if full { Self::Full } else { Self::Accept };
        };
        match &entry.state {
            State::Void => Self::Void,
            _ if entry.digest != digest => Self::Reused,
            State::Accepted(_) => Self::Dispatch,
            State::Dispatching(writer, _) => Self::Await(*writer),
            State::Finished(outcome) => Self::Finished(outcome.clone()),
        }
    }
}
