use std::collections::VecDeque;

use uuid::Uuid;

use crate::clock::Millis;
use crate::log::Offset;

use super::Claim;

/// Time for which a claim holds.
pub const LEASE: Millis = Millis(4_000);

/// Time before the end of the lease when the holder stops to act, so that an order that it sent
/// last has ended too.
const GUARD: Millis = Millis(1_500);

/// Difference in speed and pauses between the clocks of two hosts that a lease allows for.
const SKEW: Millis = Millis(500);

/// Most own records whose time of sending is kept.
const MAX_SENT: usize = 8;

/// One node's view of a claim on its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    sent: VecDeque<(Uuid, Millis)>,
    seen: Option<(Offset, Millis)>,
}

impl Lease {
    /// Notes that a claim record is about to be appended.
    pub fn record_append(&mut self, id: Uuid, now: Millis) {
        self.sent.push_back((id, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Notes the claim that is in force according to the log.
    pub fn observe(&mut self, claim: Option<&Claim>, now: Millis) {
        if let Some(claim) = claim
            && self.seen.is_none_or(|(offset, _)| offset != claim.offset)
        {
            self.seen = Some((claim.offset, now));
        }
    }

    /// Returns the fencing token while this node may act.
    ///
    /// The lease counts from before the append, so that it ends here before it ends anywhere else.
    #[must_use]
    pub fn fencing_token(&self, claim: Option<&Claim>, now: Millis) -> Option<Offset> {
        let claim = claim?;
        let sent_at = self.sent_at(claim)?;
        (now + GUARD < sent_at + claim.lease_ms).then_some(claim.offset)
    }

    /// Returns whether this node should append a claim: there is none, its own is half over, or
    /// that of another node has ended.
    #[must_use]
    pub fn should_claim(&self, claim: Option<&Claim>, now: Millis) -> bool {
        let Some(claim) = claim else {
            return true;
        };
        if let Some(sent_at) = self.sent_at(claim) {
            return now >= sent_at + Millis(claim.lease_ms.0 / 2);
        }
        self.seen
            .is_some_and(|(_, seen_at)| now >= seen_at + claim.lease_ms + SKEW)
    }

    fn sent_at(&self, claim: &Claim) -> Option<Millis> {
        let own = self.sent.iter().find(|(id, _)| *id == claim.id);
        own.map(|(_, at)| *at)
    }
}
