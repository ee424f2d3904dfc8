use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

use super::account::Account;
use super::{Reason, Ticket};

/// Time over which the rate of finished work is measured.
const RATE_WINDOW: Millis = Millis(5_000);

/// Length of one step of that measurement.
const RATE_STEP: Millis = Millis(250);

/// Use relative to an account's share from which on it leaves slots free for the others.
const OVERUSE: f64 = 1.1;

/// Slots left free for each that an account within its share uses.
const HEADROOM: f64 = 0.5;

/// Decisions kept for the dump.
const RECENT: usize = 16;

/// Accounts known beyond the configured ones, for example of an older configuration.
const MAX_ACCOUNTS: usize = 1_024;

/// Constants of an [`Admission`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Settings {
    /// Requests that one account may have queued.
    pub account_queue: usize,
    /// Requests that all accounts together may have queued.
    pub node_queue: usize,
    /// Cost that an account may be ahead of the others, over its weight, and still have its
    /// interactive requests served before the others' long ones.
    pub lead: f64,
    /// Largest share of the slots that an account above its share leaves free for the others.
    pub reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            account_queue: 256,
            node_queue: 1_024,
            lead: 20_000.0,
            reserve: 0.25,
        }
    }
}

/// How many more requests the endpoints can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Requests of any class.
    pub any: u32,
    /// Long requests among them.
    pub long: u32,
    /// Requests of any class that the endpoints can take in total.
    pub slots: u32,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dispatch this request now.
    Dispatch(Ticket),
    /// Refuse this request, which has not run.
    Refuse(Ticket, Reason),
}

/// The queues of one service at one node.
///
/// Fair shares are kept by start-time fair queueing: each account carries the cost dispatched so
/// far over its weight, the smallest goes first, and an account that comes back after a pause
/// starts at the level of the others instead of using up what it left unused. Any request is
/// dispatched as long as there is room, so that shares only matter while work waits.
#[derive(Debug, Default, Serialize)]
pub struct Admission {
    settings: Settings,
    accounts: BTreeMap<Arc<str>, Account>,
    level: f64,
    queued: usize,
    finished: VecDeque<(Millis, f64)>,
    recent: VecDeque<(Millis, u64, Arc<str>, &'static str)>,
}

/// Construction and configuration.
impl Admission {
    /// Creates empty queues.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the weight of an account and its limit over all nodes in cost units a second.
    pub fn configure(&mut self, account: &Arc<str>, weight: f64, limit: Option<f64>) {
        let known = self.account(account);
        known.weight = weight.max(f64::MIN_POSITIVE);
        known.limit = limit;
    }

    fn account(&mut self, name: &Arc<str>) -> &mut Account {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(name) {
            self.accounts.retain(|_, account| account.len() > 0);
        }
        self.accounts
            .entry(Arc::clone(name))
            .or_insert_with(|| Account {
                weight: 1.0,
                ..Account::default()
            })
    }
}

/// Arrivals, ends and decisions.
impl Admission {
    /// Queues a request.
    ///
    /// `share` is this node's share of the account's limit, see [`Share`](super::Share).
    ///
    /// # Errors
    ///
    /// Refuses what exceeds the account's limit or a queue, and what can't meet its deadline.
    pub fn enqueue(&mut self, ticket: Ticket, share: f64, now: Millis) -> Result<(), Reason> {
        let checked = self.check(&ticket, share, now);
        if let Err(reason) = checked {
            self.note(now, &ticket, reason.as_str());
            return Err(reason);
        }
        let level = self.level;
        let account = self.account(&ticket.account);
        if account.len() == 0 {
            account.served = account.served.max(level);
        }
        account.arrived_at = Some(now);
        account.push(ticket);
        self.queued += 1;
        Ok(())
    }

    fn check(&mut self, ticket: &Ticket, share: f64, now: Millis) -> Result<(), Reason> {
        let settings = self.settings;
        if !ticket.meets_deadline(now + self.wait(ticket, now)) {
            return Err(Reason::Deadline);
        }
        let full = self.queued >= settings.node_queue;
        let account = self.account(&ticket.account);
        if full || account.len() >= settings.account_queue {
            return Err(Reason::QueueFull);
        }
        if let Some(limit) = account.limit
            && !account.bucket.take(ticket.cost, limit * share, now)
        {
            return Err(Reason::Limit);
        }
        Ok(())
    }

    /// Takes a request out of the queue, because its caller has gone; false when it isn't queued.
    pub fn cancel(&mut self, account: &str, class: Class, deadline: Millis, id: u64) -> bool {
        let account = self.accounts.get_mut(account);
        let removed = account.is_some_and(|account| account.remove(class, deadline, id));
        self.queued -= usize::from(removed);
        removed
    }

    /// Records that a dispatched request has ended, for the estimate of waiting times.
    pub fn finished(&mut self, account: &str, cost: f64, now: Millis) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
        match self.finished.back_mut() {
            Some((at, sum)) if *at + RATE_STEP > now => *sum += cost,
            _ => self.finished.push_back((now, cost)),
        }
        while self
            .finished
            .front()
            .is_some_and(|step| step.0 + RATE_WINDOW < now)
        {
            self.finished.pop_front();
        }
    }

    /// Returns the next request to dispatch or to refuse; none when no queued one fits the room.
    ///
    /// What can no longer meet its deadline is refused first, with or without room.
    pub fn poll(&mut self, room: Capacity, now: Millis) -> Option<Action> {
        if let Some(ticket) = self.accounts.values_mut().find_map(|a| a.pop_expired(now)) {
            self.queued -= 1;
            self.note(now, &ticket, Reason::Deadline.as_str());
            return Some(Action::Refuse(ticket, Reason::Deadline));
        }
        let (name, class) = self.next(room, now)?;
        let account = self.accounts.get_mut(&name)?;
        let ticket = account.pop(class)?;
        self.queued -= 1;
        self.level = self.level.max(account.served);
        account.served += ticket.cost / account.weight;
        account.in_flight += 1;
        self.note(now, &ticket, "dispatch");
        Some(Action::Dispatch(ticket))
    }

    /// Picks the account and the class to serve next.
    ///
    /// An account that uses more than its share while others stay within theirs leaves slots free
    /// in proportion to what they use, because a full batch slows down every request in it and a
    /// request of the others would wait for a slot. Alone, or when the others are backlogged too,
    /// nothing is held back.
    fn next(&self, room: Capacity, now: Millis) -> Option<(Arc<str>, Class)> {
        let active: Vec<&Account> = self.accounts.values().filter(|a| a.active(now)).collect();
        let weights: f64 = active.iter().map(|a| a.weight).sum();
        let in_flight: u32 = active.iter().map(|a| a.in_flight).sum();
        let share = |a: &Account| f64::from(in_flight.max(1)) * a.weight / weights;
        let modest = active
            .iter()
            .filter(|a| f64::from(a.in_flight) + a.len() as f64 <= share(a))
            .map(|a| f64::from(a.in_flight) * HEADROOM + 1.0);
        let most = f64::from(room.slots) * self.settings.reserve;
        let reserve = modest.sum::<f64>().min(most) as u32;
        let held = |a: &Account| {
            let over = f64::from(a.in_flight) > share(a) * OVERUSE;
            if over { reserve } else { 0 }
        };
        let has = |account: &Account, class| {
            let open = room.any > held(account) && account.has(class);
            open && (class == Class::Interactive || room.long > 0)
        };
        let least = |class: Option<Class>| {
            let ready = self.accounts.iter().filter(|(_, account)| match class {
                Some(class) => has(account, class),
                None => has(account, Class::Interactive) || has(account, Class::Long),
            });
            ready.min_by(|a, b| a.1.served.total_cmp(&b.1.served))
        };
        let (name, account) = least(None)?;
        if let Some((first, interactive)) = least(Some(Class::Interactive))
            && interactive.served <= account.served + self.settings.lead
        {
            return Some((Arc::clone(first), Class::Interactive));
        }
        Some((Arc::clone(name), Class::Long))
    }

    fn note(&mut self, now: Millis, ticket: &Ticket, decision: &'static str) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        let account = Arc::clone(&ticket.account);
        self.recent.push_back((now, ticket.id, account, decision));
    }
}

/// Estimates.
impl Admission {
    /// Estimates how long a new request waits in the queue.
    ///
    /// The account's backlog ahead of it drains at the account's share of the rate of finished
    /// work; while nothing is queued or nothing has finished, the wait counts as zero.
    #[must_use]
    pub fn wait(&self, ticket: &Ticket, now: Millis) -> Millis {
        let rate = self.rate(now);
        if self.queued == 0 || rate <= 0.0 {
            return Millis::ZERO;
        }
        let own = self.accounts.get(&ticket.account);
        let weight = own.map_or(1.0, |account| account.weight);
        let ahead = own.map_or(0.0, |account| account.ahead(ticket));
        let waiting = self.accounts.iter().filter(|(name, account)| {
            let active = match ticket.class {
                Class::Interactive => account.has(Class::Interactive),
                Class::Long => account.len() > 0,
            };
            **name != ticket.account && active
        });
        let others: f64 = waiting.map(|(_, account)| account.weight).sum();
        let share = weight / (weight + others);
        Millis((ahead / (rate * share) * 1_000.0) as u64)
    }

    /// Returns the rate of finished work in cost units a second.
    #[must_use]
    pub fn rate(&self, now: Millis) -> f64 {
        let recent = self.finished.iter().filter(|s| s.0 + RATE_WINDOW >= now);
        let sum: f64 = recent.map(|step| step.1).sum();
        let first = self.finished.front().map_or(now, |step| step.0);
        let length = (now - first).max(RATE_STEP).min(RATE_WINDOW);
        sum / length.as_f64() * 1_000.0
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }
}
