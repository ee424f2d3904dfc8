use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::rollout::Outcome;

/// What came of a request that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: Key,
    /// The outcome.
    pub outcome: Outcome,
    /// Time that the prompts ahead of it, and the shared segments of its own, take at an endpoint of usual
    /// speed. It says nothing about the version: the few endpoints of one on trial get prompts that are
    /// cached elsewhere.
    pub queued: Millis,
}

impl Attempt {
    /// Returns the outcome as evidence about the endpoint's version.
    #[must_use]
    pub fn evidence(&self) -> Outcome {
        self.outcome.without(self.queued)
    }
}
