use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;

/// Idempotency token of a start: the platform starts at most one host per token.
pub type Token = Uuid;

/// Time after which an unconfirmed start is requested again, with the same token.
const RETRY_INTERVAL: Millis = Millis(5_000);

/// Requests after which an unconfirmed start is given up.
const MAX_ATTEMPTS: u32 = 5;

/// A start to request from the platform now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Token, the same in each request for this start.
    pub token: Token,
    /// Index of the offer.
    pub offer: usize,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    offer: usize,
    requested_at: Option<Millis>,
    attempts: u32,
}

/// Starts that were decided and whose hosts are not in the host list yet.
#[derive(Clone, Debug)]
pub struct Starter {
    interval: Millis,
    next_at: Millis,
    pending: BTreeMap<Token, Pending>,
}

impl Starter {
    /// Creates a starter.
    ///
    /// Each new host loads its weights from the weight store, which serves one fetch per
    /// `interval`.
    #[must_use]
    pub fn new(interval: Millis) -> Self {
        Self {
            interval,
            next_at: Millis::ZERO,
            pending: BTreeMap::new(),
        }
    }

    /// Adds a start; `token` must be unique.
    pub fn add(&mut self, offer: usize, token: Token) {
        let pending = Pending {
            offer,
            requested_at: None,
            attempts: 0,
        };
        self.pending.entry(token).or_insert(pending);
    }

    /// Returns the number of pending starts of an offer.
    #[must_use]
    pub fn pending(&self, offer: usize) -> usize {
        self.pending.values().filter(|p| p.offer == offer).count()
    }

    /// Returns the next start to request now, at most one new start per interval.
    pub fn next(&mut self, now: Millis) -> Option<Start> {
        // A retry fetches no weights again, so that it doesn't count against the rate limit.
        let due = |p: &Pending| p.requested_at.is_some_and(|at| now >= at + RETRY_INTERVAL);
        let retried = self.pending.iter_mut().find(|(_, p)| due(p));
        let (token, pending) = match retried {
            Some(found) => found,
            None if now >= self.next_at => {
                let found = self
                    .pending
                    .iter_mut()
                    .find(|(_, p)| p.requested_at.is_none())?;
                self.next_at = now + self.interval;
                found
            }
            None => return None,
        };
        pending.requested_at = Some(now);
        pending.attempts += 1;
        Some(Start {
            token: *token,
            offer: pending.offer,
        })
    }

    /// Records that the host of a token runs.
    pub fn started(&mut self, token: Token) {
        self.pending.remove(&token);
    }

    /// Records that a start was refused; the next plan decides what to start instead.
    pub fn refused(&mut self, token: Token) {
        self.pending.remove(&token);
    }

    /// Gives up starts that were never confirmed and returns their tokens.
    ///
    /// The starts must be cancelled at the platform, because they may have taken effect.
    pub fn give_up(&mut self) -> Vec<Token> {
        let lost = |p: &Pending| p.attempts >= MAX_ATTEMPTS;
        let tokens: Vec<Token> = self
            .pending
            .iter()
            .filter(|(_, p)| lost(p))
            .map(|(token, _)| *token)
            .collect();
        self.pending.retain(|_, p| !lost(p));
        tokens
    }
}
