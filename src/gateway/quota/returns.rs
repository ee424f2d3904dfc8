//! Load: callers of an account over its quota that come back after a denial, as told or at once.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;

/// Share of the rate that is promised to requests that come back.
const PROMISED_SHARE: f64 = 0.25;

/// Time by which a caller may come back early.
const EARLY_TIME: Millis = Millis(20);

/// Time before a promised return from which room is kept for it.
const LEAD: Millis = Millis(250);

/// Time after which a caller that does not come back has lost its place.
const GRACE: Millis = Millis(300);

/// Time for which a denied request is remembered.
const RETENTION: Millis = Millis(5_000);

/// Maximum number of denied requests that are remembered for one account.
const MAX_TICKETS: usize = 4_096;

/// How a request stands that may have been denied before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It was not denied before, as far as this node knows.
    New,
    /// It comes back as told, and room is kept for it.
    Promised,
    /// It comes back before it was told to.
    Early,
}

/// A request that was denied.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    due: Millis,
    /// Units kept for it, if any.
    promised: Option<f64>,
    denied_at: Millis,
}

/// The requests of an account that were denied lately, and what they were told.
///
/// Promises are spread over time, so that requests that were denied together do not return together.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    tickets: HashMap<u64, Ticket>,
    /// Denied requests in order of their denials.
    denied: VecDeque<(Millis, u64)>,
    /// Promised requests in order of their return.
    promised: VecDeque<(Millis, u64)>,
    /// Time until which room is promised.
    promised_until: Millis,
}

impl Returns {
    /// Returns how a request stands.
    pub(super) fn standing(&self, ticket: Option<u64>, now: Millis) -> Standing {
        match ticket.and_then(|ticket| self.tickets.get(&ticket)) {
            Some(ticket) if ticket.due > now + EARLY_TIME => Standing::Early,
            Some(ticket) if ticket.promised.is_some() && ticket.due + GRACE > now => {
                Standing::Promised
            }
            _ => Standing::New,
        }
    }

    /// Returns the units promised to requests that should come back about now.
    pub(super) fn expected_units(&mut self, now: Millis) -> f64 {
        while let Some((due, _)) = self.promised.front().copied()
            && due + GRACE <= now
        {
            self.promised.pop_front();
        }
        let due = self
            .promised
            .iter()
            .take_while(|(due, _)| *due <= now + LEAD);
        let tickets = due.filter_map(|(due, ticket)| Some((due, self.tickets.get(ticket)?)));
        let tickets = tickets.filter(|(due, ticket)| ticket.due == **due);
        tickets.filter_map(|(_, ticket)| ticket.promised).sum()
    }

    /// Promises room for a denied request, which is there at `earliest` if nothing was promised before;
    /// returns when to come back. Nothing is promised if that is later than `latest`.
    pub(super) fn promise(
        &mut self,
        ticket: u64,
        units: f64,
        rate: f64,
        earliest: Millis,
        latest: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let due = earliest.max(self.promised_until);
        // A promise has to end before its request is forgotten.
        if due > latest.min(now + RETENTION - GRACE) {
            return None;
        }
        let taken = units / (rate * PROMISED_SHARE) * 1_000.0;
        self.promised_until = due + Millis(taken.min(RETENTION.as_f64()) as u64 + 1);
        self.promised.push_back((due, ticket));
        self.remember(ticket, due, Some(units), now);
        Some(due)
    }

    /// Records that a request was told to come back at `due`, or what it was told before, without room
    /// kept for it; returns the time. A promise that it did not wait for is withdrawn.
    pub(super) fn remember_denied(&mut self, ticket: u64, due: Millis, now: Millis) -> Millis {
        let told = self.tickets.get(&ticket).map(|ticket| ticket.due);
        let due = told.filter(|told| *told > now).unwrap_or(due);
        self.remember(ticket, due, None, now);
        due
    }

    /// Returns the time until which room is promised.
    pub(super) fn promised_until(&self) -> Millis {
        self.promised_until
    }

    /// Forgets a request that was granted.
    pub(super) fn forget(&mut self, ticket: Option<u64>) {
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
        }
    }

    fn remember(&mut self, ticket: u64, due: Millis, promised: Option<f64>, now: Millis) {
        let new = Ticket {
            due,
            promised,
            denied_at: now,
        };
        self.tickets.insert(ticket, new);
        self.denied.push_back((now, ticket));
        while let Some((at, oldest)) = self.denied.front().copied()
            && (at + RETENTION <= now || self.denied.len() > MAX_TICKETS)
        {
            self.denied.pop_front();
            let is_last = self.tickets.get(&oldest).is_some_and(|t| t.denied_at == at);
            if is_last {
                self.tickets.remove(&oldest);
            }
        }
    }
}
