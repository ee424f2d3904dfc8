use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::{Demand, short_hash};

/// Time constant of the exponential decay of the rates.
const DECAY_TIME_CONSTANT: Millis = Millis(5_000);

/// Maximum number of client accounts in one message; those with the highest rates are sent.
const MAX_DEMANDS: usize = 8;

/// Maximum number of accounts that are tracked; requests of further ones are not counted.
const MAX_ACCOUNTS: usize = 1_024;

/// Demand of each client account at this node, as exponentially decaying rates.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    accounts: HashMap<Arc<str>, Rate>,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Millis,
}

impl Rate {
    fn at(self, now: Millis) -> f64 {
        self.per_second * (-(now - self.at).as_f64() / DECAY_TIME_CONSTANT.as_f64()).exp()
    }
}

impl Rates {
    /// Counts a request of `cost` units.
    pub fn count(&mut self, account: &Arc<str>, cost: f64, now: Millis) {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            return;
        }
        let zero = Rate {
            per_second: 0.0,
            at: now,
        };
        let rate = self.accounts.entry(Arc::clone(account)).or_insert(zero);
        *rate = Rate {
            per_second: rate.at(now) + cost * 1_000.0 / DECAY_TIME_CONSTANT.as_f64(),
            at: now,
        };
    }

    /// Returns the accounts with the highest rates, highest first.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
    pub fn demand(&self, now: Millis) -> Vec<Demand> {
        let mut demand: Vec<_> = self
            .accounts
            .iter()
            .map(|(account, rate)| Demand {
                account: short_hash(account),
                rate: rate.at(now) as f32,
            })
            .filter(|demand| demand.rate > 0.01)
            .collect();
        demand.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        demand.truncate(MAX_DEMANDS);
        demand
    }
}
