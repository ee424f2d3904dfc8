use std::sync::Arc;

use serde::Deserialize;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::admission::{Reason, Ticket};
use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::node::Node;
use crate::node::request::Request;
use crate::routing;
use crate::scheduler::Arrival;

use super::permit::Permit;

/// Time after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis(1_000);

/// The part of a model request's body that admission needs.
#[derive(Deserialize)]
struct RequestSize<'a> {
    #[serde(borrow)]
    prompt: std::borrow::Cow<'a, str>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Admission.
impl Node {
    /// Waits until a request may use endpoints.
    ///
    /// A non-idempotent call bypasses the queue: only its records in the log may refuse it with
    /// "not run", and their writer has a bounded queue of its own.
    ///
    /// # Errors
    ///
    /// Refuses a request that exceeds a limit, finds the queue full or can't meet its deadline.
    /// This attempt has not run then; callers of this method account for earlier attempts with the
    /// same key.
    pub(in crate::node) async fn admit(
        self: &Arc<Self>,
        request: &Request,
        request_permit: OwnedSemaphorePermit,
    ) -> Result<Permit, Error> {
        if !request.route.idempotent {
            return Ok(self.bypass_queue(request, request_permit));
        }
        let size = self.request_size(request)?;
        let prompt = size.as_ref().map_or("", |size| &*size.prompt);
        let limit = request.route.max_tokens;
        let requested = size.as_ref().and_then(|size| size.max_tokens);
        let model = size.is_some();
        let trace = model
            .then_some(self.dispatch.recording.as_ref())
            .flatten()
            .map(|recording| recording.begin(request, prompt, self.clock.now()));
        let enqueued = self.enqueue(request, prompt, requested.map_or(limit, |n| n.min(limit)));
        let (ticket, receiver) = match enqueued {
            Ok(queued) => queued,
            Err(reason) => return Err(self.refuse(reason, trace)),
        };
        let mut guard = QueueGuard {
            node: self,
            service: &request.route.service,
            ticket: Some(&ticket),
        };
        let result = receiver.await.unwrap_or(Err(Reason::QueueFull));
        guard.ticket = None;
        drop(guard);
        if let Err(reason) = result {
            return Err(self.refuse(reason, trace));
        }
        Ok(Permit {
            node: Arc::clone(self),
            service: Arc::clone(&request.route.service),
            route: Arc::clone(&request.route.name),
            admitted_at: self.clock.now(),
            output_tokens: None,
            trace,
            ticket: Some(ticket),
            _request_permit: request_permit,
        })
    }

    /// Creates the permit of a call that bypasses the queue.
    fn bypass_queue(
        self: &Arc<Self>,
        request: &Request,
        request_permit: OwnedSemaphorePermit,
    ) -> Permit {
        Permit {
            node: Arc::clone(self),
            service: Arc::clone(&request.route.service),
            route: Arc::clone(&request.route.name),
            admitted_at: self.clock.now(),
            output_tokens: None,
            trace: None,
            ticket: None,
            _request_permit: request_permit,
        }
    }

    /// Parses the size of a model request; `None` for a request to a plain service.
    fn request_size<'a>(&self, request: &'a Request) -> Result<Option<RequestSize<'a>>, Error> {
        if request.route.max_tokens == 0 {
            return Ok(None);
        }
        serde_json::from_slice(&request.body)
            .map(Some)
            .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("body: {error}")))
    }

    /// Adds a request to the queue of its service; the receiver reports its dispatch or refusal.
    fn enqueue(
        &self,
        request: &Request,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<(Ticket, oneshot::Receiver<Result<(), Reason>>), Reason> {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        let share = state.share(&request.account, now).current(now);
        let cost_weight = request.active.config.weights.cost;
        let service = state.service(&request.route.service, cost_weight);
        let ticket = service.scheduler.enqueue(
            &Arrival {
                account: &request.account,
                route: &request.route.name,
                class: request.route.class,
                prompt_tokens: if max_tokens > 0 {
                    routing::estimate_tokens(prompt)
                } else {
                    0
                },
                max_tokens,
                deadline: request.deadline,
                share,
            },
            now,
        )?;
        let (sender, receiver) = oneshot::channel();
        service.waiting.insert(ticket.id, sender);
        service.dispatch_due(now);
        if service.waiting.contains_key(&ticket.id) {
            metrics::counter!("almondpath_requests_queued_total").increment(1);
        }
        Ok((ticket, receiver))
    }

    /// Returns the error for a refused request, and ends its line in the trace.
    fn refuse(&self, reason: Reason, trace: Option<crate::replay::Request>) -> Error {
        if let (Some(recording), Some(trace)) = (&self.dispatch.recording, trace) {
            recording.finish(trace);
        }
        let (kind, message) = match reason {
            Reason::QueueFull => (ErrorKind::Overloaded, "the queue is full"),
            Reason::Limit => (ErrorKind::Overloaded, "the account's limit is reached"),
            Reason::Deadline => (ErrorKind::DeadlineExceeded, "the deadline can't be met"),
        };
        Error::not_run(kind, message).with_retry_after(RETRY_AFTER)
    }

    /// Dispatches the queued requests for which there is capacity now.
    pub(in crate::node) fn dispatch_due(&self) {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        for service in state.services.values_mut() {
            service.dispatch_due(now);
        }
    }
}

/// Removes a request from the queue when its caller disconnects while it waits.
struct QueueGuard<'a> {
    node: &'a Node,
    service: &'a Arc<str>,
    ticket: Option<&'a Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let now = self.node.clock.now();
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(self.service) {
            let admission = &mut service.scheduler.admission;
            let queued =
                admission.cancel(&ticket.account, ticket.class, ticket.deadline, ticket.id);
            let waited = service.waiting.remove(&ticket.id).is_some();
            if !queued && !waited {
                // It was dispatched just as the caller disconnected.
                service.scheduler.finished(ticket, &"".into(), None, now);
            }
            service.dispatch_due(now);
        }
    }
}
