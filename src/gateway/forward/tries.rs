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
pub(super) struct Tries {
    /// Endpoints that it was sent to, in order.
    pub(super) endpoints: Vec<Arc<str>>,
    /// Sends that arrived or may have arrived.
    pub(super) arrived: u32,
    /// The greatest verdict of the sends.
    pub(super) verdict: Option<Verdict>,
    /// Why the last send or decision gave no response.
    pub(super) why: String,
    /// The failure that an endpoint answered with.
    pub(super) response: Option<Response<Bytes>>,
    /// Time after which the caller may come back.
    pub(super) retry_after: Option<Millis>,
    /// Where the last send was placed.
    pub(super) placed: Option<Choice>,
    /// Time from the request's arrival to the first event or the head of its response.
    pub(super) first_event: Option<Millis>,
}

impl Tries {
    /// Notes that the request is sent to an endpoint.
    pub(super) fn sent(&mut self, endpoint: &Arc<str>, choice: Choice) {
        self.endpoints.push(Arc::clone(endpoint));
        self.placed = Some(choice);
    }

    /// Notes a send that gave no response.
    pub(super) fn failed(&mut self, failure: Failure) {
        self.arrived += u32::from(failure.arrived);
        self.verdict = Some(match self.verdict {
            Some(verdict) => verdict.max(failure.verdict),
            None => failure.verdict,
        });
        self.why = failure.why;
        if failure.response.is_some() {
            self.response = failure.response;
        }
    }

    /// Returns whether the request may be sent once more.
    pub(super) fn may_go_on(&self, repeat: RetryPolicy) -> bool {
        repeat != RetryPolicy::Never || self.has_not_run()
    }

    /// Returns whether no send can have run.
    pub(super) fn has_not_run(&self) -> bool {
        self.verdict
            .is_none_or(|verdict| verdict == Verdict::NotRun)
    }
}
