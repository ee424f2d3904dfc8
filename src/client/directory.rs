use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::transport;

/// Timeout of a request for addresses; short, so that a stalled node causes little delay.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

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

/// The node addresses that a client uses, in order of preference.
#[derive(Debug)]
pub(super) struct Directory {
    http: transport::Client,
    known: Vec<SocketAddr>,
    session: Arc<str>,
    ranked: VecDeque<SocketAddr>,
    valid_until: Millis,
}

impl Directory {
    /// Creates a directory that requests addresses from the nodes at `known`.
    pub(super) fn new(http: transport::Client, known: Vec<SocketAddr>, session: Arc<str>) -> Self {
        Self {
            http: http.with_timeout(REQUEST_TIMEOUT),
            known,
            session,
            ranked: VecDeque::new(),
            valid_until: Millis::ZERO,
        }
    }

    /// Returns the next address to use, after a refresh if none is left or they have expired.
    ///
    /// # Errors
    ///
    /// Fails if no address is left and no node responds with one.
    pub(super) async fn next(&mut self, now: Millis) -> Result<SocketAddr, Error> {
        if self.ranked.is_empty() || now >= self.valid_until {
            let refreshed = self.refresh(now).await;
            if self.ranked.is_empty() {
                refreshed?;
            }
        }
        self.ranked
            .pop_front()
            .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no node address is available"))
    }

    /// Returns the next address without a refresh.
    pub(super) fn pop(&mut self) -> Option<SocketAddr> {
        self.ranked.pop_front()
    }

    /// Moves addresses to the front, because a node has redirected the client to them.
    pub(super) fn prefer(&mut self, addresses: &[SocketAddr]) {
        self.ranked.retain(|address| !addresses.contains(address));
        for address in addresses.iter().rev() {
            self.ranked.push_front(*address);
        }
    }

    /// Requests addresses from the known nodes, including those of the last response, until one
    /// responds.
    async fn refresh(&mut self, now: Millis) -> Result<(), Error> {
        let mut last_error = Error::not_run(ErrorKind::Unavailable, "no node address is known");
        let path = format!("/v1/addresses?session={}", self.session);
        for index in 0..self.known.len() {
            let node = self.known[index];
            match self.http.get_json::<Addresses>(node, &path).await {
                Ok(response) => {
                    self.update(response, now);
                    self.known.swap(0, index);
                    return Ok(());
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Replaces the ranking by that of a response.
    fn update(&mut self, response: Addresses, now: Millis) {
        self.valid_until = now + response.ttl_ms;
        self.ranked = response.addresses.iter().map(|a| a.address).collect();
        for address in &self.ranked {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
        // Known nodes that the response does not name are tried last: the node that responded may
        // know fewer nodes than the client.
        let others = self.known.iter().filter(|a| !self.ranked.contains(a));
        let others: Vec<_> = others.copied().collect();
        self.ranked.extend(others);
    }
}
