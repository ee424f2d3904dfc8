use serde::Serialize;

use crate::clock::Millis;

use super::{Header, Member, State};

/// State that a node keeps about another node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Peer {
    /// Its newest membership record.
    pub member: Member,
    /// Header of its last message.
    pub header: Option<Header>,
    /// When its last probe or response arrived, on the monotonic clock.
    pub heard_at: Option<Millis>,
    /// When a suspect is declared gone, or when a peer that is gone is forgotten.
    pub(super) expires: Option<Millis>,
    /// Version of the local record that was last sent to it.
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

    /// Stores the header of its newest message. Probe responses omit the demand, which saves
    /// 144 bytes/s with five client accounts; the last known demand is kept then.
    pub(super) fn update_header(&mut self, mut header: Header) {
        if header.demand.is_empty()
            && let Some(known) = self.header.take()
        {
            header.demand = known.demand;
        }
        self.header = Some(header);
    }

    /// Returns whether it accepts new requests: it is alive and has not announced that it is
    /// leaving.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.member.state == State::Alive && !self.header.as_ref().is_some_and(|h| h.draining)
    }
}
