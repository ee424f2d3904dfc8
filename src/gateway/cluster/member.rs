use serde::{Deserialize, Serialize};

use crate::clock::Millis;

use super::announcement::Announcement;

/// A node as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said last.
    pub announcement: Announcement,
    /// The latest claim on whether it lives.
    pub(super) claim: Claim,
    /// Steady time here at which it started, which may be before this node did.
    pub(super) started: i64,
    /// When this node last had contact with it.
    pub(super) contact: Option<Millis>,
    /// When its announcement was taken in.
    pub(super) stated: Millis,
    /// When the claim was taken in.
    pub(super) claimed: Millis,
    /// Whether the claim is this node's own.
    pub(super) claimed_here: bool,
    /// Number of the last change, among the changes of this node's members.
    pub(super) version: u64,
}

impl Member {
    /// Returns how long the node has been running.
    #[must_use]
    pub fn uptime(&self, now: Millis) -> Millis {
        Millis(u64::try_from(now.0 as i64 - self.started).unwrap_or(0))
    }

    /// Returns whether this node had contact with it within some time.
    pub(super) fn had_contact(&self, within: Millis, now: Millis) -> bool {
        self.contact.is_some_and(|at| at + within > now)
    }
}

/// Whether a run of a node is heard, by the node that watches it.
///
/// The later number wins, and of two with one number the one that it is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Claim {
    pub(super) number: u64,
    pub(super) alive: bool,
}

impl Claim {
    /// Returns the first claim on a run, that it is heard.
    pub(super) const fn first() -> Self {
        Self {
            number: 0,
            alive: true,
        }
    }

    /// Returns the claim that replaces this one.
    pub(super) const fn next(self, alive: bool) -> Self {
        Self {
            number: self.number + 1,
            alive,
        }
    }
}

/// A change of a member, for other nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    pub(super) announcement: Announcement,
    pub(super) claim: Claim,
    /// How long the node had been running when the news were sent.
    pub(super) uptime: Millis,
}
