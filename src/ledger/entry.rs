use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::log::writer;

use super::{Blob, Digest};

/// What another node needs to run an accepted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Client account.
    pub account: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Wall time after which the call must not be sent any more.
    pub deadline: Millis,
    /// The request body, unless it exceeds [`MAX_STORED_BODY_BYTES`](super::MAX_STORED_BODY_BYTES).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Blob>,
}

/// How a sent call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        content_type: Option<Arc<str>>,
        /// The body, unless it exceeds [`MAX_STORED_RESPONSE_BYTES`](super::MAX_STORED_RESPONSE_BYTES) or was dropped
        /// to keep the table within its limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body: Option<Blob>,
    },
    /// The answer was lost after the call was handed to the transport; it may have run.
    Unknown,
}

impl Outcome {
    /// Returns the size of the stored body in bytes.
    #[must_use]
    pub fn stored(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, |body| body.0.len()),
            Self::Unknown => 0,
        }
    }
}

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// May be dispatched by any node.
    Accepted(Box<Call>),
    /// Only the writer of this `dispatch` record may send the call.
    Dispatching(writer::Key, Box<Call>),
    /// The call was sent and is over.
    Finished(Outcome),
    /// The call did not run and never will.
    Void,
}

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the account, route and body that the key is bound to.
    pub digest: Digest,
    /// State.
    pub state: State,
}

impl Entry {
    /// Returns the size of the stored response body in bytes.
    #[must_use]
    pub fn stored(&self) -> usize {
        match &self.state {
            State::Finished(outcome) => outcome.stored(),
            _ => 0,
        }
    }

    /// Returns the size of the stored bodies, request or response, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.state {
            State::Accepted(order) | State::Dispatching(_, order) => {
                order.body.as_ref().map_or(0, |body| body.0.len())
            }
            State::Finished(outcome) => outcome.stored(),
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
