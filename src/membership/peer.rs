use serde::Serialize;

use crate::clock::Millis;

use super::{Header, Member, State};

/// What a node knows about another node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Peer {
    /// The newest statement about it.
    pub member: Member,
    /// What it said last about itself.
    pub header: Option<Header>,
    /// When it last answered or probed, on the monotonic clock.
    pub heard_at: Option<Millis>,
    /// When a suspect counts as gone, or when a peer that is gone is forgotten.
    pub(super) expires: Option<Millis>,
    /// Version of the own statement that it has been sent.
    #[serde(rename = "told")]
    pub(super) announced_version: Option<u32>,
}

impl Peer {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            header: None,
            heard_at: None,
            expires: None,
            announced_version: None,
        }
    }

    /// Takes over what it says about itself; answers to probes do not repeat the demand, which
    /// saves 144 bytes/s at five client accounts.
    pub(super) fn update_header(&mut self, mut header: Header) {
        if header.demand.is_empty()
            && let Some(known) = self.header.take()
        {
            header.demand = known.demand;
        }
        self.header = Some(header);
    }

    /// Returns whether it may get new work: alive, and not announced as leaving.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.member.state == State::Alive && !self.header.as_ref().is_some_and(|h| h.draining)
    }
}
