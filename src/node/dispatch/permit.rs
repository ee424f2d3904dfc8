use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;

use crate::admission::Ticket;
use crate::clock::Millis;
use crate::node::Node;

/// Permission for a request to use endpoints, returned when dropped.
#[derive(Debug)]
pub(in crate::node) struct Permit {
    pub(super) node: Arc<Node>,
    /// `None` for a call that bypassed the queue.
    pub(super) ticket: Option<Ticket>,
    pub(super) service: Arc<str>,
    pub(super) route: Arc<str>,
    pub(super) admitted_at: Millis,
    pub(super) output_tokens: Option<u32>,
    pub(super) trace: Option<crate::replay::Request>,
    /// Counts the request towards the node's request limit.
    pub(super) _request_permit: OwnedSemaphorePermit,
}

impl Permit {
    /// Records that the request succeeded and generated `tokens` tokens.
    pub(in crate::node) fn succeeded(&mut self, tokens: u32) {
        self.output_tokens = Some(tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let node = Arc::clone(&self.node);
        let now = node.clock.now();
        let took = now - self.admitted_at;
        let succeeded = self.output_tokens.map(|tokens| (tokens, took));
        let mut state = node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            if let Some(ticket) = &self.ticket {
                service
                    .scheduler
                    .finished(ticket, &self.route, succeeded, now);
            }
            service.dispatch_due(now);
        }
        drop(state);
        if let (Some(recording), Some(mut trace)) = (&node.dispatch.recording, self.trace.take()) {
            trace.output_tokens = self.output_tokens;
            recording.finish(trace);
        }
    }
}
