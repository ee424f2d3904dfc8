use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::writer;

use super::{Blob, Digest};

/// An accepted call, with all that another node needs to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Wall time after which the call must no longer be sent.
    pub deadline: Millis,
    /// The request body, unless it exceeds [`MAX_STORED_BODY_BYTES`](super::MAX_STORED_BODY_BYTES).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Blob>,
}

/// Outcome of a call that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint responded.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        content_type: Option<Arc<str>>,
        /// The body, unless it exceeds
        /// [`MAX_STORED_RESPONSE_BYTES`](super::MAX_STORED_RESPONSE_BYTES) or was dropped to keep
        /// the table within its limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body: Option<Blob>,
    },
    /// The response was lost after the call was handed to the transport; the call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the size of the stored response body in bytes.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, |body| body.0.len()),
            Self::Unknown => 0,
        }
    }
}

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Any node may dispatch the call.
    Accepted(Box<Call>),
    /// Only the writer of this `dispatch` record may send the call.
    Dispatching(writer::Key, Box<Call>),
    /// The call was sent and has ended.
    Finished(Outcome),
    /// The call did not run and never will.
    Void,
}

/// Entry of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the account, route and body to which the key is bound.
    pub digest: Digest,
    /// State of the key.
    pub state: State,
}

impl Entry {
    /// Returns the size of the stored response body in bytes.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        match &self.state {
            State::Finished(outcome) => outcome.response_bytes(),
            _ => 0,
        }
    }

    /// Returns the size of the stored request or response body in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        match &self.state {
            State::Accepted(call) | State::Dispatching(_, call) => {
                call.body.as_ref().map_or(0, |body| body.0.len())
            }
            State::Finished(outcome) => outcome.response_bytes(),
            State::Void => 0,
        }
    }

    /// Drops the stored response body.
    pub fn drop_response(&mut self) {
        if let State::Finished(Outcome::Answered { body, .. }) = &mut self.state {
            *body = None;
        }
    }
}
