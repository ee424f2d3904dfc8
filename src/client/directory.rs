use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::transport;

/// Time within which a node has to tell addresses, so that a stalled one costs little.
const ANSWER_BOUND: Millis = Millis(1_000);

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<Address>,
    #[serde(default)]
    ttl_ms: Millis,
}

#[derive(Debug, Deserialize)]
struct Address {
    address: SocketAddr,
}

/// The addresses that a caller uses, in order.
#[derive(Debug)]
pub(super) struct Directory {
    http: transport::Client,
    known: Vec<SocketAddr>,
    session: Arc<str>,
    ranked: VecDeque<SocketAddr>,
    valid_until: Millis,
}

impl Directory {
    /// Creates a directory that asks the nodes at `known`.
    pub(super) fn new(http: transport::Client, known: Vec<SocketAddr>, session: Arc<str>) -> Self {
        Self {
            http: http.with_timeout(ANSWER_BOUND),
            known,
            session,
            ranked: VecDeque::new(),
            valid_until: Millis::ZERO,
        }
    }

    /// Returns the next address to use.
    ///
    /// # Errors
    ///
    /// Fails when no node tells an address and none is left.
    pub(super) async fn next(&mut self, now: Millis) -> Result<SocketAddr, Error> {
        if self.ranked.is_empty() || now >= self.valid_until {
            let refreshed = self.refresh(now).await;
            if self.ranked.is_empty() {
                refreshed?;
            }
        }
        self.ranked
            .pop_front()
            .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no address to use"))
    }

    /// Returns the next address of the last answer.
    pub(super) fn pop(&mut self) -> Option<SocketAddr> {
        self.ranked.pop_front()
    }

    /// Puts addresses in front, because a node said that they serve the caller.
    pub(super) fn prefer(&mut self, addresses: &[SocketAddr]) {
        self.ranked.retain(|address| !addresses.contains(address));
        for address in addresses.iter().rev() {
            self.ranked.push_front(*address);
        }
    }

    /// Asks all nodes in turn, those of the last answer included, until one answers.
    async fn refresh(&mut self, now: Millis) -> Result<(), Error> {
        let mut last = Error::not_run(ErrorKind::Unavailable, "no node is known");
        let path = format!("/v1/addresses?session={}", self.session);
        for index in 0..self.known.len() {
            let node = self.known[index];
            match self.http.get_json::<Addresses>(node, &path).await {
                Ok(found) => {
                    self.take(found, now);
                    self.known.swap(0, index);
                    return Ok(());
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn take(&mut self, found: Addresses, now: Millis) {
        self.valid_until = now + found.ttl_ms;
        self.ranked = found.addresses.iter().map(|a| a.address).collect();
        for address in &self.ranked {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
        // Nodes that the answer does not name are tried last: the one that answered may know less
        // than the caller does.
        let others = self.known.iter().filter(|a| !self.ranked.contains(a));
        let others: Vec<_> = others.copied().collect();
        self.ranked.extend(others);
    }
}
