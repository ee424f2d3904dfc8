use std::collections::BTreeMap;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

use super::{Bucket, Ticket};

/// How long an account counts as active after its newest request.
const ACTIVE_WINDOW: Millis = Millis(5_000);

/// Queued requests of one account and class by deadline and id, earliest deadline first.
type Queue = BTreeMap<(Millis, u64), Ticket>;

/// Queues and fair-share state of one client account.
#[derive(Debug, Default, Serialize)]
pub(super) struct Account {
    pub(super) weight: f64,
    /// Rate limit in cost units per second, for all nodes together.
    pub(super) limit: Option<f64>,
    pub(super) bucket: Bucket,
    /// Start tag of the account's next request, see [`Admission`](super::Admission).
    #[serde(rename = "served")]
    pub(super) start_tag: f64,
    /// Requests that were dispatched and have not finished.
    pub(super) in_flight: u32,
    /// Arrival time of the newest request.
    pub(super) arrived_at: Option<Millis>,
    /// Total cost of the queued requests per class, see [`class_index`].
    pub(super) backlog: [f64; 2],
    #[serde(skip)]
    pub(super) queues: [Queue; 2],
}

impl Account {
    pub(super) fn push(&mut self, ticket: Ticket) {
        let class = class_index(ticket.class);
        self.backlog[class] += ticket.cost;
        self.queues[class].insert((ticket.deadline, ticket.id), ticket);
    }

    /// Returns whether the account has requests in flight or sent one recently.
    pub(super) fn is_active(&self, now: Millis) -> bool {
        let recent = self.arrived_at.is_some_and(|at| at + ACTIVE_WINDOW > now);
        recent || self.in_flight > 0
    }

    pub(super) fn pop(&mut self, class: Class) -> Option<Ticket> {
        let (_, ticket) = self.queues[class_index(class)].pop_first()?;
        self.subtract_backlog(&ticket);
        Some(ticket)
    }

    /// Removes a queued request that would miss its deadline even if it started now.
    pub(super) fn pop_expired(&mut self, now: Millis) -> Option<Ticket> {
        let classes = [Class::Interactive, Class::Long];
        let expired = classes.into_iter().find(|class| {
            let first = self.queues[class_index(*class)].first_key_value();
            first.is_some_and(|(_, ticket)| !ticket.meets_deadline(now))
        })?;
        self.pop(expired)
    }

    pub(super) fn remove(&mut self, class: Class, deadline: Millis, id: u64) -> bool {
        let removed = self.queues[class_index(class)].remove(&(deadline, id));
        if let Some(ticket) = &removed {
            self.subtract_backlog(ticket);
        }
        removed.is_some()
    }

    pub(super) fn has_queued(&self, class: Class) -> bool {
        !self.queues[class_index(class)].is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Returns the cost of the account's queued requests that are dispatched before `ticket`.
    pub(super) fn cost_ahead(&self, ticket: &Ticket) -> f64 {
        let class = class_index(ticket.class);
        let earlier = self.queues[class].range(..(ticket.deadline, ticket.id));
        let same_class: f64 = earlier.map(|(_, queued)| queued.cost).sum();
        same_class + self.backlog[..class].iter().sum::<f64>()
    }

    fn subtract_backlog(&mut self, ticket: &Ticket) {
        let class = class_index(ticket.class);
        // The sum is reset when the queue empties, so that rounding errors don't accumulate.
        self.backlog[class] = if self.queues[class].is_empty() {
            0.0
        } else {
            self.backlog[class] - ticket.cost
        };
    }
}

/// Returns the position of a class in arrays that hold one value per class.
pub(super) const fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Long => 1,
    }
}
