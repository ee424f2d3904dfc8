use std::fmt;

use serde::{Deserialize, Serialize};

/// The kind of an [`Error`](super::Error).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request can't be parsed or lacks a field.
    Malformed,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The token is missing or unknown.
    Unauthorized,
    /// The route, request or resource does not exist for this client account.
    NotFound,
    /// A non-idempotent route was called without an idempotency key.
    KeyMissing,
    /// The idempotency key lies outside the retry window.
    KeyExpired,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The idempotency key was rejected before and can't be used again.
    KeyVoid,
    /// The call ran, and its response is no longer stored.
    ResponseGone,
    /// The body or the headers exceed a limit.
    TooLarge,
    /// A limit of the node or of the client account has been reached.
    Overloaded,
    /// The deadline has passed or can't be met.
    DeadlineExceeded,
    /// No endpoint can serve the request at present.
    Unavailable,
    /// The log service does not respond.
    LogUnavailable,
    /// The endpoint failed or its response was lost.
    EndpointFailed,
    /// The node is shutting down.
    Leaving,
    /// A concurrent write took precedence.
    Conflict,
    /// A fault of the program itself.
    Internal,
}

impl ErrorKind {
    /// Returns the name used in response bodies, metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::KeyMissing => "key_missing",
            Self::KeyExpired => "key_expired",
            Self::KeyReused => "key_reused",
            Self::KeyVoid => "key_void",
            Self::ResponseGone => "response_gone",
            Self::TooLarge => "too_large",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Unavailable => "unavailable",
            Self::LogUnavailable => "log_unavailable",
            Self::EndpointFailed => "endpoint_failed",
            Self::Leaving => "leaving",
            Self::Conflict => "conflict",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status code of an error response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::KeyMissing | Self::KeyExpired => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::KeyReused | Self::KeyVoid | Self::Conflict => 409,
            Self::MethodNotAllowed => 405,
            Self::ResponseGone => 410,
            Self::TooLarge => 413,
            Self::Overloaded => 429,
            Self::Internal => 500,
            Self::EndpointFailed => 502,
            Self::Unavailable | Self::LogUnavailable | Self::Leaving => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
