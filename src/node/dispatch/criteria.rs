use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::Class;
use crate::endpoint::Key;
use crate::routing::{self, Query};

/// Criteria for the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(in crate::node) struct Criteria<'a> {
    pub(in crate::node) service: &'a Arc<str>,
    pub(in crate::node) class: Class,
    /// The prompt; empty for plain services.
    pub(in crate::node) prompt: &'a str,
    /// Endpoints that are not chosen, because earlier attempts used them.
    pub(in crate::node) exclude: &'a [Key],
    /// Number in [0, 1] that selects the version; the same at all nodes for a request.
    pub(in crate::node) draw: f64,
}

impl Criteria<'_> {
    pub(super) fn query<'q>(&self, blocks: &'q [u64], exclude: &'q [Key]) -> Query<'q, Key> {
        let model = !self.prompt.is_empty();
        Query {
            blocks,
            prompt_tokens: if model {
                routing::estimate_tokens(self.prompt)
            } else {
                0
            },
            class: self.class,
            exclude,
        }
    }
}

/// An endpoint that was chosen.
#[derive(Debug)]
pub(in crate::node) struct ChosenEndpoint {
    pub(in crate::node) key: Key,
    pub(in crate::node) host: Arc<str>,
    pub(in crate::node) address: SocketAddr,
}
