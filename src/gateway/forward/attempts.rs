use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;

use crate::clock::Millis;
use crate::gateway::RetryPolicy;
use crate::verdict::Verdict;

use super::choose::Choice;
use super::failure::Failure;

/// What became of the sends of a request so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Endpoints that it was sent to, in order.
    pub(super) endpoints: Vec<Arc<str>>,
    /// Sends that arrived or may have arrived.
    pub(super) delivered: u32,
    /// The greatest verdict of the sends.
    pub(super) verdict: Option<Verdict>,
    /// Why the last send or decision gave no response.
    pub(super) reason: String,
    /// The failure that an endpoint answered with.
    pub(super) response: Option<Response<Bytes>>,
    /// Time after which the caller may come back.
    pub(super) retry_after: Option<Millis>,
    /// Where the last send was placed.
    pub(super) choice: Option<Choice>,
    /// Time from the request's arrival to the first event or the head of its response.
    pub(super) first_event: Option<Millis>,
}

impl Attempts {
    /// Notes that the request is sent to an endpoint.
    pub(super) fn record_sent(&mut self, endpoint: &Arc<str>, choice: Choice) {
        self.endpoints.push(Arc::clone(endpoint));
        self.choice = Some(choice);
    }

    /// Notes a send that gave no response.
    pub(super) fn record_failure(&mut self, failure: Failure) {
        self.delivered += u32::from(failure.delivered);
        self.verdict = Some(match self.verdict {
            Some(verdict) => verdict.max(failure.verdict),
            None => failure.verdict,
        });
        self.reason = failure.reason;
        if failure.response.is_some() {
            self.response = failure.response;
        }
    }

    /// Returns whether the request may be sent once more.
    pub(super) fn may_retry(&self, repeat: RetryPolicy) -> bool {
        repeat != RetryPolicy::Never || self.has_not_run()
    }

    /// Returns whether no send can have run.
    pub(super) fn has_not_run(&self) -> bool {
        self.verdict
            .is_none_or(|verdict| verdict == Verdict::NotRun)
    }
}
