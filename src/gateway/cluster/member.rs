use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::announcement::Announcement;

/// Another node of the gateway, as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// The latest claim on whether it is alive.
    pub(super) claim: Claim,
    /// Its start on the steady clock of this node; negative if it started before that clock's
    /// origin.
    pub(super) started: i64,
    /// When this node last exchanged messages with it.
    pub(super) last_contact: Option<Millis>,
    /// When this node called it, while it counted as alive; the earliest call without a response.
    pub(super) called_at: Option<Millis>,
    /// When its announcement was received.
    pub(super) announced_at: Millis,
    /// When the claim was received.
    pub(super) claimed_at: Millis,
    /// Whether this node made the claim.
    pub(super) claimed_locally: bool,
    /// Version of the roster at the last change of this member; 0 if the member is not passed on.
    pub(super) version: u64,
}

impl Member {
    /// Returns how long the node has been running.
    #[must_use]
    pub fn uptime(&self, now: Millis) -> Millis {
        Millis(u64::try_from(now.0 as i64 - self.started).unwrap_or(0))
    }

    /// Returns whether there has been no contact since this node called it.
    pub(super) fn owes_response(&self) -> bool {
        let contact = self.last_contact.unwrap_or_default();
        self.called_at.is_some_and(|at| at > contact)
    }

    /// Returns whether this node exchanged messages with it during the last `period`.
    pub(super) fn had_contact(&self, period: Millis, now: Millis) -> bool {
        self.last_contact.is_some_and(|at| at + period > now)
    }
}

/// A claim on whether a run of a node is alive, usually made by the node that watches it.
///
/// The claim with the higher revision wins. Between claims of the same revision, the one that says
/// the node is alive wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Claim {
    pub(super) revision: u64,
    pub(super) alive: bool,
}

impl Claim {
    /// Returns the initial claim on a run of a node: it is alive.
    pub(super) const fn initial() -> Self {
        Self {
            revision: 0,
            alive: true,
        }
    }

    /// Returns a claim that supersedes this one.
    pub(super) const fn next(self, alive: bool) -> Self {
        Self {
            revision: self.revision + 1,
            alive,
        }
    }
}

/// A change of a member, as nodes pass it on to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub(super) announcement: Announcement,
    pub(super) claim: Claim,
    /// Uptime of the member when the update was sent.
    pub(super) uptime: Millis,
}
