use std::sync::Arc;

use crate::clock::Millis;
use crate::config::Class;
use crate::endpoint::Key;
use crate::node::Node;
use crate::routing::Query;

/// A reservation for an attempt, which counts as in flight at its endpoint until dropped.
#[derive(Debug)]
pub(in crate::node) struct Reservation {
    pub(super) node: Arc<Node>,
    pub(super) service: Arc<str>,
    pub(super) class: Class,
    pub(super) blocks: Vec<u64>,
    pub(super) prompt_tokens: u32,
    pub(super) predicted_cached_tokens: u32,
    pub(super) reserved_at: Millis,
    pub(super) prefill_pending: bool,
    pub(super) succeeded: bool,
    pub(super) key: Key,
}

impl Reservation {
    /// Records that the endpoint has started, with the prompt tokens that it found in its cache.
    pub(in crate::node) fn started(&mut self, cached_tokens: u32) {
        let now = self.node.clock.now();
        let query = Query {
            blocks: &self.blocks,
            prompt_tokens: self.prompt_tokens,
            class: self.class,
            exclude: &[],
        };
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.started(
                self.key,
                &query,
                self.predicted_cached_tokens,
                cached_tokens,
                now,
            );
        }
    }

    /// Records that the first token has arrived.
    pub(in crate::node) fn first_token(&mut self) {
        if !std::mem::replace(&mut self.prefill_pending, false) {
            return;
        }
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.release_prefill(self.key, self.class, self.prompt_tokens);
        }
    }

    /// Records that the attempt succeeded.
    pub(in crate::node) fn succeeded(&mut self) {
        self.succeeded = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.first_token();
        let now = self.node.clock.now();
        let took = self.succeeded.then_some(now - self.reserved_at);
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.finished(self.key, self.class, took);
            service.dispatch_due(now);
        }
        drop(state);
        let mut endpoints = self.node.endpoints.lock().expect("endpoints lock");
        endpoints.count_request(self.key, false);
    }
}
