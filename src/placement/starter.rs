use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Millis;

/// Token of a start: the platform starts at most one host for it, however often it is asked.
pub type Token = Uuid;

/// Time after which a start whose answer was lost is asked for again, with the same token.
const REPEAT: Millis = Millis(5_000);

/// Attempts after which a start counts as refused.
const MAX_ATTEMPTS: u32 = 5;

/// A start that should be asked for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Token, the same in each repetition.
    pub token: Token,
    /// Position of the offer.
    pub offer: usize,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    offer: usize,
    asked_at: Option<Millis>,
    attempts: u32,
}

/// Starts that were decided and not seen in the host list yet.
#[derive(Clone, Debug)]
pub struct Starter {
    interval: Millis,
    next_at: Millis,
    pending: BTreeMap<Token, Pending>,
}

impl Starter {
    /// Creates a starter; each host loads its weights from the store, which serves one fetch per
    /// `interval`.
    #[must_use]
    pub fn new(interval: Millis) -> Self {
        Self {
            interval,
            next_at: Millis::ZERO,
            pending: BTreeMap::new(),
        }
    }

    /// Decides a start; `token` has to be new.
    pub fn add(&mut self, offer: usize, token: Token) {
        let pending = Pending {
            offer,
            asked_at: None,
            attempts: 0,
        };
        self.pending.entry(token).or_insert(pending);
    }

    /// Returns the number of starts of an offer that are under way.
    #[must_use]
    pub fn pending(&self, offer: usize) -> usize {
        self.pending.values().filter(|p| p.offer == offer).count()
    }

    /// Returns the start to ask for now, at most one per interval.
    pub fn next(&mut self, now: Millis) -> Option<Start> {
        // A repetition loads no weights again, so that it doesn't count against the rate.
        let due = |p: &Pending| p.asked_at.is_some_and(|at| now >= at + REPEAT);
        let repeated = self.pending.iter_mut().find(|(_, p)| due(p));
        let (token, pending) = match repeated {
            Some(found) => found,
            None if now >= self.next_at => {
                let found = self
                    .pending
                    .iter_mut()
                    .find(|(_, p)| p.asked_at.is_none())?;
                self.next_at = now + self.interval;
                found
            }
            None => return None,
        };
        pending.asked_at = Some(now);
        pending.attempts += 1;
        Some(Start {
            token: *token,
            offer: pending.offer,
        })
    }

    /// Notes that the host of a token runs.
    pub fn started(&mut self, token: Token) {
        self.pending.remove(&token);
    }

    /// Notes that a start was refused; the next plan decides what to start instead.
    pub fn refused(&mut self, token: Token) {
        self.pending.remove(&token);
    }

    /// Gives up starts that were never confirmed and returns their tokens, which have to be
    /// cancelled at the platform because they may have taken effect.
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
