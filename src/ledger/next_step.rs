use crate::log::writer;

use super::{Digest, Key, MAX_ENTRIES, Outcome, Projection, State};

/// What a node does next for a call, decided from the state that it has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Append `accept` and `dispatch`.
    Accept,
    /// Append `dispatch` to the entry that is accepted already.
    Dispatch,
    /// Another attempt may send or has sent: wait for its end and never send.
    Await(writer::Key),
    /// The call ended like this.
    Finished(Outcome),
    /// The call did not run and never will.
    Void,
    /// The key belongs to another account, route or body; this one did not run and never will.
    Reused,
    /// The table is full, so that no key is accepted.
    Full,
    /// The key is at or below the horizon and may have run before.
    Expired,
}

impl NextStep {
    /// Decides what to do for a key.
    ///
    /// `Finished`, `Void` and `Reused` are final, so that they hold also when the reader is
    /// behind the end of the stream. The other states are settled by the append that follows.
    #[must_use]
    pub fn new(fold: &Projection, key: Key, digest: Digest) -> Self {
        if key.time() <= fold.horizon() {
            return Self::Expired;
        }
        let Some(entry) = fold.get(key) else {
            let full = fold.len() >= MAX_ENTRIES;
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
