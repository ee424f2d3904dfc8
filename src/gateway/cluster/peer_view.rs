use crate::clock::Millis;
use crate::gateway::{Contacts, Peers};

use super::member::Member;
use super::roster::Roster;

/// Time within which a node that runs responds to a call.
const RESPONSE_TIME: Millis = Millis(150);

/// The other nodes as an owner of buckets sees them.
struct PeerView<'a> {
    roster: &'a Roster,
    now: Millis,
}

impl PeerView<'_> {
    fn contacts_of(&self, member: &Member, since: Millis) -> Contacts {
        let had_contact = member.last_contact.is_some_and(|at| at > since);
        let is_alive = self.roster.is_alive(member, self.now);
        let called_at = member.called_at.filter(|at| *at > since);
        let unanswered = member.owes_response();
        let is_overdue = called_at.is_some_and(|at| at + RESPONSE_TIME <= self.now);
        Contacts {
            confirmed: usize::from(is_alive && had_contact),
            uncalled: usize::from(is_alive && !had_contact && !unanswered),
            answered: usize::from(called_at.is_some() && !unanswered),
            unanswered: usize::from(is_overdue && unanswered),
        }
    }
}

impl Peers for PeerView<'_> {
    fn is_alive(&self, node: &str) -> bool {
        let member = self.roster.member(node);
        member.is_some_and(|member| self.roster.is_alive(member, self.now))
    }

    fn had_contact_since(&self, node: &str, time: Millis) -> bool {
        let member = self.roster.member(node);
        let contact = member.and_then(|member| member.last_contact);
        contact.is_some_and(|at| at > time) && self.is_alive(node)
    }

    fn has_responded(&self, node: &str, since: Millis) -> Option<bool> {
        let member = self.roster.member(node)?;
        if member.owes_response() {
            let called_at = member.called_at;
            let is_overdue = called_at.is_some_and(|at| at + RESPONSE_TIME <= self.now);
            return is_overdue.then_some(false);
        }
        member
            .called_at
            .is_some_and(|at| at > since)
            .then_some(true)
    }

    fn contacts_since<F>(&self, time: Millis, is_known: F) -> Contacts
    where
        F: Fn(&str) -> bool,
    {
        let known = Contacts {
            confirmed: 1,
            ..Contacts::default()
        };
        let serving = self.roster.members();
        let serving = serving.filter(|member| !member.announcement.leaving);
        let contacts = serving.map(|member| match is_known(&member.announcement.node) {
            true => known,
            false => self.contacts_of(member, time),
        });
        contacts.sum()
    }

    fn failure_timeout(&self) -> Millis {
        self.roster.failure_timeout()
    }
}

impl Roster {
    /// Returns the nodes as an owner of buckets sees them.
    #[must_use]
    pub fn peers(&self, now: Millis) -> impl Peers {
        PeerView { roster: self, now }
    }
}
