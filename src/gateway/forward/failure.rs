use bytes::Bytes;
use hyper::Response;

use crate::verdict::Verdict;

use super::replacement::Replacement;
use super::reservation::Reservation;

/// Why an attempt produced no response for the caller.
pub(super) struct Failure {
    pub(super) verdict: Verdict,
    pub(super) reason: String,
    /// The endpoint's response, if it failed with one.
    pub(super) response: Option<Response<Bytes>>,
    /// The endpoint that takes the request next, if one is reserved.
    pub(super) next: Option<Box<Reservation>>,
}

impl Failure {
    pub(super) fn new<M>(verdict: Verdict, reason: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            verdict,
            reason: reason.into(),
            response: None,
            next: None,
        }
    }

    /// Creates the failure of an attempt that is abandoned for another endpoint.
    pub(super) fn replaced(replacement: Replacement) -> Self {
        Self {
            next: Some(replacement.reservation),
            ..Self::new(Verdict::MayHaveRun, replacement.reason)
        }
    }

    pub(super) fn with_response(mut self, response: Response<Bytes>) -> Self {
        self.response = Some(response);
        self
    }
}
