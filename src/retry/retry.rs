use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::clock::Millis;
use crate::verdict::Verdict;

use super::{Backoff, Budget};

/// Most accounts and most endpoints with a budget; when full, the table is emptied, which gives
/// everyone the small reserve of a new budget again.
const MAX_BUDGETS: usize = 4_096;

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 5;

/// A failed or slow attempt.
#[derive(Clone, Debug)]
pub struct Attempt<'a, K> {
    /// Client account.
    pub account: &'a Arc<str>,
    /// Endpoint that would get the next attempt.
    pub endpoint: K,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// What is known about the execution.
    pub verdict: Verdict,
    /// Time that another attempt is expected to take.
    pub expected: Millis,
    /// When the request has to be finished.
    pub deadline: Millis,
}

/// Whether a request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// Try again after this time.
    After(Millis),
    /// It may have run and must not be repeated.
    NotIdempotent,
    /// Too little time is left.
    Deadline,
    /// The budget of the account or of the endpoint is spent.
    Budget,
    /// It was tried too often.
    Attempts,
}

/// The retry budgets of one node.
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
    /// Creates budgets for nobody.
    #[must_use]
    pub fn new(backoff: Backoff, seed: u64) -> Self {
        Self {
            backoff,
            accounts: HashMap::new(),
            endpoints: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, account: &Arc<str>, endpoint: K) {
        budget(&mut self.accounts, Arc::clone(account)).earn();
        budget(&mut self.endpoints, endpoint).earn();
    }

    /// Decides whether a failed request is tried again, and spends the budgets if so.
    ///
    /// The endpoint's budget is that of the endpoint that would get the retry, so that the retries
    /// for broken ones add at most a tenth to its own requests. The budget of the one that failed
    /// must not count: an endpoint that gets little traffic, such as one of a new version, would
    /// earn too little to let its callers go elsewhere.
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

    /// Decides whether a second attempt is started beside a slow one.
    ///
    /// `waited` is the time since the dispatch and `usual` the 95th percentile of the route. Only
    /// calls that may be repeated are hedged, and only once.
    pub fn hedge(
        &mut self,
        attempt: &Attempt<'_, K>,
        waited: Millis,
        usual: Millis,
        now: Millis,
    ) -> bool {
        attempt.idempotent
            && attempt.attempts == 1
            && waited >= usual
            && now + attempt.expected < attempt.deadline
            && self.spend(attempt)
    }

    /// Returns the budgets per account, for the dump.
    pub fn accounts(&self) -> impl Iterator<Item = (&Arc<str>, &Budget)> {
        self.accounts.iter()
    }

    /// Drops the budgets of endpoints for which `keep` is false.
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
