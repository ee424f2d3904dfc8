use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::clock::Millis;
use crate::verdict::Verdict;

use super::{Backoff, Budget};

/// Maximum number of accounts, and of endpoints, with a budget. A full table is cleared, so that
/// each account or endpoint gets a new budget with its few initial retries.
const MAX_BUDGETS: usize = 4_096;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 5;

/// A failed or slow attempt.
#[derive(Clone, Debug)]
pub struct Attempt<'a, K> {
    /// Client account.
    pub account: &'a Arc<str>,
    /// Endpoint that would get the next attempt.
    pub endpoint: K,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// What is known about the execution of the request.
    pub verdict: Verdict,
    /// Expected duration of another attempt.
    pub expected: Millis,
    /// Time by which the request has to be finished.
    pub deadline: Millis,
}

/// Whether a failed request is retried, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// Retry after this delay.
    After(Millis),
    /// The request may have run and isn't idempotent.
    NotIdempotent,
    /// Too little time is left until the deadline.
    Deadline,
    /// The retry budget of the account or of the endpoint is exhausted.
    Budget,
    /// The maximum number of attempts is reached.
    Attempts,
}

/// Retry policy of one node, with a budget per client account and per endpoint.
#[derive(Debug)]
pub struct Retry<K> {
    backoff: Backoff,
    accounts: HashMap<Arc<str>, Budget>,
    endpoints: HashMap<K, Budget>,
    rng: SmallRng,
}

impl<K> Retry<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates a retry policy without budgets; they are created on first use.
    #[must_use]
    pub fn new(backoff: Backoff, seed: u64) -> Self {
        Self {
            backoff,
            accounts: HashMap::new(),
            endpoints: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds a first attempt to the budgets.
    pub fn record_first(&mut self, account: &Arc<str>, endpoint: K) {
        budget(&mut self.accounts, Arc::clone(account)).earn();
        budget(&mut self.endpoints, endpoint).earn();
    }

    /// Decides whether a failed request is retried, and if so subtracts the retry from the budgets.
    ///
    /// The endpoint whose budget counts is the one that would get the retry, so that the retries
    /// for failing endpoints add at most a tenth to its own requests. The budget of the endpoint
    /// that failed must not count: an endpoint with little traffic, such as one of a new version,
    /// would accumulate too small a budget to let its callers use other endpoints.
    pub fn decide(&mut self, attempt: &Attempt<'_, K>, now: Millis) -> Decision {
        if !attempt.idempotent && attempt.verdict != Verdict::NotRun {
            return Decision::NotIdempotent;
        }
        if attempt.attempts >= MAX_ATTEMPTS {
            return Decision::Attempts;
        }
        let delay = self.backoff.delay(attempt.attempts, &mut self.rng);
        if now + delay + attempt.expected >= attempt.deadline {
            return Decision::Deadline;
        }
        if self.spend(attempt) {
            return Decision::After(delay);
        }
        Decision::Budget
    }

    /// Decides whether a slow attempt is hedged, and if so subtracts the hedge from the budgets.
    ///
    /// `waited` is the time since the dispatch and `threshold` the route's slow threshold, see
    /// [`Latencies::slow_threshold`](super::Latencies::slow_threshold). Only idempotent calls are
    /// hedged, and only once.
    pub fn hedge(
        &mut self,
        attempt: &Attempt<'_, K>,
        waited: Millis,
        threshold: Millis,
        now: Millis,
    ) -> bool {
        attempt.idempotent
            && attempt.attempts == 1
            && waited >= threshold
            && now + attempt.expected < attempt.deadline
            && self.spend(attempt)
    }

    /// Returns the budgets per account, for the state dump.
    pub fn accounts(&self) -> impl Iterator<Item = (&Arc<str>, &Budget)> {
        self.accounts.iter()
    }

    /// Drops the budgets of the endpoints for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(K) -> bool,
    {
        self.endpoints.retain(|key, _| keep(*key));
    }

    fn spend(&mut self, attempt: &Attempt<'_, K>) -> bool {
        let account = budget(&mut self.accounts, Arc::clone(attempt.account));
        let endpoint = budget(&mut self.endpoints, attempt.endpoint);
        let allowed = account.allows() && endpoint.allows();
        if allowed {
            account.spend();
            endpoint.spend();
        }
        allowed
    }
}

fn budget<K>(budgets: &mut HashMap<K, Budget>, key: K) -> &mut Budget
where
    K: Eq + Hash,
{
    if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(&key) {
        budgets.clear();
    }
    budgets.entry(key).or_default()
}
