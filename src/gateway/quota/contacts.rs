//! Load: an owner of an account's bucket in a large cluster, which has contact with a few of the other
//! nodes each second and has to tell how many of them it could reach.

use std::iter::Sum;

/// Minimum number of calls from which the share of the nodes that respond is estimated.
const MIN_CALLS: usize = 8;

/// What calls and other contact show of the other nodes since some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contacts {
    /// Nodes that are known to reach this one.
    pub confirmed: usize,
    /// Nodes that count as alive, had no contact, and owe no response to a call.
    pub uncalled: usize,
    /// Nodes that were called and have had contact since.
    pub answered: usize,
    /// Nodes that were called and should have responded by now.
    pub unanswered: usize,
}

impl Contacts {
    /// Returns the share of the nodes that respond when they are called; none if too few of them were
    /// called to tell.
    pub(super) fn response_share(&self) -> Option<f64> {
        let calls = self.answered + self.unanswered;
        (calls >= MIN_CALLS).then(|| self.answered as f64 / (calls + 1) as f64)
    }

    /// Returns how many of the nodes that were not called respond, if this share of all does.
    pub(super) fn estimated(&self, response_share: Option<f64>) -> usize {
        (self.uncalled as f64 * response_share.unwrap_or(0.0)) as usize
    }
}

impl Sum for Contacts {
    fn sum<I>(contacts: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        contacts.fold(Self::default(), |sum, next| Self {
            confirmed: sum.confirmed + next.confirmed,
            uncalled: sum.uncalled + next.uncalled,
            answered: sum.answered + next.answered,
            unanswered: sum.unanswered + next.unanswered,
        })
    }
}
