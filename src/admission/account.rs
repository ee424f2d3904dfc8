use std::collections::BTreeMap;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

use super::{Bucket, Ticket};

/// Time after its newest request for which an account counts as active.
const ACTIVE: Millis = Millis(5_000);

/// Requests of one account in one class, earliest deadline first.
type Queue = BTreeMap<(Millis, u64), Ticket>;

/// The queues and the share of one client account.
#[derive(Debug, Default, Serialize)]
pub(super) struct Account {
    pub(super) weight: f64,
    /// Highest rate in cost units a second over all nodes.
    pub(super) limit: Option<f64>,
    pub(super) bucket: Bucket,
    /// Cost dispatched so far over the weight, see [`Admission`](super::Admission).
    pub(super) served: f64,
    /// Dispatched requests that have not ended.
    pub(super) in_flight: u32,
    /// Arrival of the newest request.
    pub(super) arrived_at: Option<Millis>,
    /// Cost of the queued interactive and long requests.
    pub(super) backlog: [f64; 2],
    #[serde(skip)]
    pub(super) queues: [Queue; 2],
}

impl Account {
    pub(super) fn push(&mut self, ticket: Ticket) {
        let class = index(ticket.class);
        self.backlog[class] += ticket.cost;
        self.queues[class].insert((ticket.deadline, ticket.id), ticket);
    }

    /// Returns whether the account has had requests lately.
    pub(super) fn active(&self, now: Millis) -> bool {
        let lately = self.arrived_at.is_some_and(|at| at + ACTIVE > now);
        lately || self.in_flight > 0
    }

    pub(super) fn pop(&mut self, class: Class) -> Option<Ticket> {
        let (_, ticket) = self.queues[index(class)].pop_first()?;
        self.deduct(&ticket);
        Some(ticket)
    }

    /// Takes out a request that can't meet its deadline even when it starts now.
    pub(super) fn pop_expired(&mut self, now: Millis) -> Option<Ticket> {
        let classes = [Class::Interactive, Class::Long];
        let expired = classes.into_iter().find(|class| {
            let first = self.queues[index(*class)].first_key_value();
            first.is_some_and(|(_, ticket)| !ticket.meets_deadline(now))
        })?;
        self.pop(expired)
    }

    pub(super) fn remove(&mut self, class: Class, deadline: Millis, id: u64) -> bool {
        let removed = self.queues[index(class)].remove(&(deadline, id));
        if let Some(ticket) = &removed {
            self.deduct(ticket);
        }
        removed.is_some()
    }

    pub(super) fn has(&self, class: Class) -> bool {
        !self.queues[index(class)].is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Returns the cost of the queued requests that are served before a new one.
    pub(super) fn ahead(&self, ticket: &Ticket) -> f64 {
        let class = index(ticket.class);
        let same = self.queues[class].range(..(ticket.deadline, ticket.id));
        let same: f64 = same.map(|(_, queued)| queued.cost).sum();
        same + self.backlog[..class].iter().sum::<f64>()
    }

    fn deduct(&mut self, ticket: &Ticket) {
        let class = index(ticket.class);
        // An empty queue resets the sum, so that rounding errors don't accumulate.
        self.backlog[class] = if self.queues[class].is_empty() {
            0.0
        } else {
            self.backlog[class] - ticket.cost
        };
    }
}

pub(super) const fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Long => 1,
    }
}
