use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

use super::account::Account;
use super::{Reason, Ticket};

/// Time over which the completion rate is measured.
const RATE_WINDOW: Millis = Millis(5_000);

/// Time resolution of the completion rate.
const RATE_STEP: Millis = Millis(250);

/// Ratio of an account's requests in flight to its share above which slots are reserved for others.
const OVERUSE_RATIO: f64 = 1.1;

/// Slots reserved per slot that an account within its share uses.
const RESERVE_PER_SLOT: f64 = 0.5;

/// Maximum number of decisions kept for the state dump.
const RECENT_DECISIONS: usize = 16;

/// Number of accounts from which on a new account causes those without queued requests to be
/// dropped. There are more accounts than the configured ones, for example those of an older
/// configuration.
const MAX_ACCOUNTS: usize = 1_024;

/// Settings of an [`Admission`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Settings {
    /// Maximum number of queued requests of one account.
    pub account_queue: usize,
    /// Maximum number of queued requests of all accounts together.
    pub node_queue: usize,
    /// Maximum lead in virtual time, which is cost over weight, with which the interactive requests
    /// of an account are still dispatched before the long ones of other accounts.
    pub lead: f64,
    /// Maximum share of the slots that is reserved for accounts within their share.
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

/// Free capacity of the endpoints, as numbers of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Capacity {
    /// Further requests of any class.
    pub any: u32,
    /// Further long requests, included in `any`.
    pub long: u32,
    /// Concurrent requests that the endpoints can serve in total.
    pub slots: u32,
}

/// What to do with a queued request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dispatch the request now.
    Dispatch(Ticket),
    /// Refuse the request, which has not run.
    Refuse(Ticket, Reason),
}

/// The admission queues of one service at one node.
///
/// Accounts share the capacity by start-time fair queueing: each dispatched request advances the
/// start tag of its account by the request's cost over the account's weight, and the account with
/// the smallest start tag is served first. An account that returns after a pause starts at the
/// current virtual time, so that it gets no credit for capacity it left unused. Shares only matter
/// while requests wait; otherwise any request is dispatched as long as there is free capacity.
#[derive(Debug, Default, Serialize)]
pub struct Admission {
    settings: Settings,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Largest start tag of a dispatched request.
    #[serde(rename = "level")]
    virtual_time: f64,
    /// Number of queued requests.
    queued: usize,
    /// Cost finished per step of [`RATE_STEP`], oldest first.
    #[serde(rename = "finished")]
    completed: VecDeque<(Millis, f64)>,
    /// Recent decisions: time, request, account and decision.
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

    /// Sets the weight of an account and its rate limit in cost units per second over all nodes.
    pub fn configure(&mut self, account: &Arc<str>, weight: f64, limit: Option<f64>) {
        let account = self.account(account);
        account.weight = weight.max(f64::MIN_POSITIVE);
        account.limit = limit;
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

/// Arrivals, completions and decisions.
impl Admission {
    /// Queues a request.
    ///
    /// `share` is this node's share of the account's rate limit, see [`Share`](super::Share).
    ///
    /// # Errors
    ///
    /// Fails when the request exceeds the account's rate limit, when a queue is full, or when the
    /// request isn't expected to meet its deadline.
    pub fn enqueue(&mut self, ticket: Ticket, share: f64, now: Millis) -> Result<(), Reason> {
        let checked = self.check(&ticket, share, now);
        if let Err(reason) = checked {
            self.record_decision(now, &ticket, reason.as_str());
            return Err(reason);
        }
        let virtual_time = self.virtual_time;
        let account = self.account(&ticket.account);
        if account.len() == 0 {
            account.start_tag = account.start_tag.max(virtual_time);
        }
        account.arrived_at = Some(now);
        account.push(ticket);
        self.queued += 1;
        Ok(())
    }

    fn check(&mut self, ticket: &Ticket, share: f64, now: Millis) -> Result<(), Reason> {
        let settings = self.settings;
        if !ticket.meets_deadline(now + self.expected_wait(ticket, now)) {
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

    /// Removes a queued request whose caller disconnected; returns whether it was queued.
    pub fn cancel(&mut self, account: &str, class: Class, deadline: Millis, id: u64) -> bool {
        let account = self.accounts.get_mut(account);
        let removed = account.is_some_and(|account| account.remove(class, deadline, id));
        self.queued -= usize::from(removed);
        removed
    }

    /// Records that a dispatched request has finished, for the estimate of the queueing time.
    pub fn finished(&mut self, account: &str, cost: f64, now: Millis) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
        match self.completed.back_mut() {
            Some((at, sum)) if *at + RATE_STEP > now => *sum += cost,
            _ => self.completed.push_back((now, cost)),
        }
        while self
            .completed
            .front()
            .is_some_and(|step| step.0 + RATE_WINDOW < now)
        {
            self.completed.pop_front();
        }
    }

    /// Returns the next request to dispatch or to refuse, or `None` if the capacity fits no queued
    /// request.
    ///
    /// Requests that can no longer meet their deadline are refused first, whatever the capacity.
    pub fn poll(&mut self, capacity: Capacity, now: Millis) -> Option<Action> {
        if let Some(ticket) = self.accounts.values_mut().find_map(|a| a.pop_expired(now)) {
            self.queued -= 1;
            self.record_decision(now, &ticket, Reason::Deadline.as_str());
            return Some(Action::Refuse(ticket, Reason::Deadline));
        }
        let (name, class) = self.pick(capacity, now)?;
        let account = self.accounts.get_mut(&name)?;
        let ticket = account.pop(class)?;
        self.queued -= 1;
        self.virtual_time = self.virtual_time.max(account.start_tag);
        account.start_tag += ticket.cost / account.weight;
        account.in_flight += 1;
        self.record_decision(now, &ticket, "dispatch");
        Some(Action::Dispatch(ticket))
    }

    /// Picks the account and the class to serve next.
    ///
    /// While some accounts stay within their share, an account above its share may not use all
    /// slots: a number of slots in proportion to those in use by the former accounts is reserved
    /// for them. Otherwise their next request would wait for a slot, and a full batch would slow
    /// down every request in it. Nothing is reserved when an account is alone or the others are
    /// backlogged too.
    fn pick(&self, capacity: Capacity, now: Millis) -> Option<(Arc<str>, Class)> {
        let active: Vec<&Account> = self
            .accounts
            .values()
            .filter(|a| a.is_active(now))
            .collect();
        let weights: f64 = active.iter().map(|a| a.weight).sum();
        let in_flight: u32 = active.iter().map(|a| a.in_flight).sum();
        let share = |a: &Account| f64::from(in_flight.max(1)) * a.weight / weights;
        let within_share = active
            .iter()
            .filter(|a| f64::from(a.in_flight) + a.len() as f64 <= share(a))
            .map(|a| f64::from(a.in_flight) * RESERVE_PER_SLOT + 1.0);
        let max_reserve = f64::from(capacity.slots) * self.settings.reserve;
        let reserve = within_share.sum::<f64>().min(max_reserve) as u32;
        let reserved = |a: &Account| {
            let over = f64::from(a.in_flight) > share(a) * OVERUSE_RATIO;
            if over { reserve } else { 0 }
        };
        let fits = |account: &Account, class| {
            let ready = capacity.any > reserved(account) && account.has_queued(class);
            ready && (class == Class::Interactive || capacity.long > 0)
        };
        let least = |class: Option<Class>| {
            let ready = self.accounts.iter().filter(|(_, account)| match class {
                Some(class) => fits(account, class),
                None => fits(account, Class::Interactive) || fits(account, Class::Long),
            });
            ready.min_by(|a, b| a.1.start_tag.total_cmp(&b.1.start_tag))
        };
        let (name, account) = least(None)?;
        if let Some((first, interactive)) = least(Some(Class::Interactive))
            && interactive.start_tag <= account.start_tag + self.settings.lead
        {
            return Some((Arc::clone(first), Class::Interactive));
        }
        Some((Arc::clone(name), Class::Long))
    }

    fn record_decision(&mut self, now: Millis, ticket: &Ticket, decision: &'static str) {
        if self.recent.len() == RECENT_DECISIONS {
            self.recent.pop_front();
        }
        let account = Arc::clone(&ticket.account);
        self.recent.push_back((now, ticket.id, account, decision));
    }
}

/// Estimates.
impl Admission {
    /// Estimates how long a new request would wait in the queue.
    ///
    /// The account's backlog ahead of the request drains at the account's share of the completion
    /// rate. The estimate is zero while nothing is queued or nothing has finished recently.
    #[must_use]
    pub fn expected_wait(&self, ticket: &Ticket, now: Millis) -> Millis {
        let rate = self.completion_rate(now);
        if self.queued == 0 || rate <= 0.0 {
            return Millis::ZERO;
        }
        let own = self.accounts.get(&ticket.account);
        let weight = own.map_or(1.0, |account| account.weight);
        let ahead = own.map_or(0.0, |account| account.cost_ahead(ticket));
        let competing = self.accounts.iter().filter(|(name, account)| {
            let competes = match ticket.class {
                Class::Interactive => account.has_queued(Class::Interactive),
                Class::Long => account.len() > 0,
            };
            **name != ticket.account && competes
        });
        let others: f64 = competing.map(|(_, account)| account.weight).sum();
        let share = weight / (weight + others);
        Millis((ahead / (rate * share) * 1_000.0) as u64)
    }

    /// Returns the recent completion rate in cost units per second.
    #[must_use]
    pub fn completion_rate(&self, now: Millis) -> f64 {
        let recent = self.completed.iter().filter(|s| s.0 + RATE_WINDOW >= now);
        let sum: f64 = recent.map(|step| step.1).sum();
        let first = self.completed.front().map_or(now, |step| step.0);
        let length = (now - first).max(RATE_STEP).min(RATE_WINDOW);
        sum / length.as_f64() * 1_000.0
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }
}
