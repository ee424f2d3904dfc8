use std::collections::VecDeque;

use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;

use super::Claim;

/// Duration of the lease of a claim.
pub const LEASE_DURATION: Millis = Millis(4_000);

/// Time before the end of the lease at which the holder stops to act, so that its last order has
/// ended before the lease does.
const SAFETY_MARGIN: Millis = Millis(1_500);

/// Maximum clock drift between two hosts, including pauses of their processes, for which a lease
/// allows.
const MAX_CLOCK_SKEW: Millis = Millis(500);

/// Maximum number of own claim records whose time of append is kept.
const MAX_TRACKED_APPENDS: usize = 8;

/// A node's view of the lease of a claim, on its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    appends: VecDeque<(Uuid, Millis)>,
    observed: Option<(Offset, Millis)>,
}

impl Lease {
    /// Records that a claim record is about to be appended.
    pub fn record_append(&mut self, id: Uuid, now: Millis) {
        self.appends.push_back((id, now));
        if self.appends.len() > MAX_TRACKED_APPENDS {
            self.appends.pop_front();
        }
    }

    /// Records the claim that is in effect according to the log.
    pub fn observe(&mut self, claim: Option<&Claim>, now: Millis) {
        if let Some(claim) = claim
            && self
                .observed
                .is_none_or(|(offset, _)| offset != claim.offset)
        {
            self.observed = Some((claim.offset, now));
        }
    }

    /// Returns the fencing token while this node may act on its claim.
    ///
    /// The lease counts from before the append, so that it ends at this node before it ends at any
    /// other.
    #[must_use]
    pub fn fencing_token(&self, claim: Option<&Claim>, now: Millis) -> Option<Offset> {
        let claim = claim?;
        let appended_at = self.appended_at(claim)?;
        (now + SAFETY_MARGIN < appended_at + claim.lease_ms).then_some(claim.offset)
    }

    /// Returns whether this node should append a claim: no claim exists, half of its own lease has
    /// passed, or the lease of another node has expired.
    #[must_use]
    pub fn should_claim(&self, claim: Option<&Claim>, now: Millis) -> bool {
        let Some(claim) = claim else {
            return true;
        };
        if let Some(appended_at) = self.appended_at(claim) {
            return now >= appended_at + Millis(claim.lease_ms.0 / 2);
        }
        self.observed
            .is_some_and(|(_, observed_at)| now >= observed_at + claim.lease_ms + MAX_CLOCK_SKEW)
    }

    fn appended_at(&self, claim: &Claim) -> Option<Millis> {
        let own = self.appends.iter().find(|(id, _)| *id == claim.id);
        own.map(|(_, at)| *at)
    }
}
