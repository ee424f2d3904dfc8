use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;

use crate::clock::Millis;
use crate::gateway::endpoint::Key;
use crate::gateway::{Fleet, RetryPolicy};
use crate::verdict::Verdict;

use super::choose::Choice;
use super::failure::Failure;

/// The attempts of a request so far, and their results.
#[derive(Default)]
pub(super) struct Attempts {
    /// Endpoints that were tried, in order.
    pub(super) endpoints: Vec<Arc<str>>,
    /// Endpoints that received the request or may have.
    delivered: Vec<Key>,
    /// The greatest verdict of the failed attempts; `None` before the first failure.
    pub(super) verdict: Option<Verdict>,
    /// Why the last attempt failed, or why no further one was made.
    pub(super) reason: String,
    /// The last failure response of an endpoint.
    pub(super) response: Option<Response<Bytes>>,
    /// Whether there was no endpoint for a further attempt.
    pub(super) without_endpoint: bool,
    /// Time after which the caller may retry.
    pub(super) retry_after: Option<Millis>,
    /// The choice of the last endpoint.
    pub(super) choice: Option<Choice>,
    /// Time from the request's arrival to the first event of a stream, or to a whole response.
    pub(super) first_event: Option<Millis>,
}

impl Attempts {
    /// Records that the request is sent to an endpoint.
    pub(super) fn record_sent(&mut self, endpoint: &Arc<str>, choice: Choice) {
        self.endpoints.push(Arc::clone(endpoint));
        self.choice = Some(choice);
    }

    /// Records that an endpoint receives the request from now on.
    pub(super) fn record_delivered(&mut self, endpoint: Key) {
        self.delivered.push(endpoint);
    }

    /// Records that an endpoint did not receive the request after all.
    pub(super) fn record_not_delivered(&mut self, endpoint: Key) {
        self.delivered.retain(|key| *key != endpoint);
    }

    /// Returns whether any endpoint received the request or may have.
    pub(super) fn is_delivered(&self) -> bool {
        !self.delivered.is_empty()
    }

    /// Returns the number of attempts that count towards the limit of the route: endpoints that have
    /// ended or were cut off can't be at work on the request any more.
    pub(super) fn count(&self, fleet: &Fleet) -> usize {
        let delivered = self.delivered.iter();
        delivered
            .filter(|key| !fleet.is_deregistered(**key))
            .count()
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, failure: Failure) {
        self.verdict = Some(match self.verdict {
            Some(verdict) => verdict.max(failure.verdict),
            None => failure.verdict,
        });
        self.reason = failure.reason;
        if failure.response.is_some() {
            self.response = failure.response;
        }
    }

    /// Returns whether the request may be attempted again.
    pub(super) fn may_retry(&self, policy: RetryPolicy) -> bool {
        policy != RetryPolicy::Never || self.has_not_run()
    }

    /// Returns whether no attempt can have run.
    pub(super) fn has_not_run(&self) -> bool {
        self.verdict
            .is_none_or(|verdict| verdict == Verdict::NotRun)
    }
}
