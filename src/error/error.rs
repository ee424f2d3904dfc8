use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::verdict::Verdict;

use super::ErrorKind;

/// The error of a request that was rejected or that failed.
///
/// It serializes to the body of an error response: `error`, `verdict`, `message`, `retry_after_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    #[serde(rename = "error")]
    kind: ErrorKind,
    verdict: Verdict,
    message: Arc<str>,
    #[serde(rename = "retry_after_ms", skip_serializing_if = "Option::is_none")]
    #[serde(default)]
    retry_after: Option<Millis>,
}

/// Constructors and builder methods.
impl Error {
    /// Creates an error for a request that did not run.
    pub fn not_run<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<Arc<str>>,
    {
        Self {
            kind,
            verdict: Verdict::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<Arc<str>>,
    {
        Self::not_run(kind, message).with_verdict(Verdict::MayHaveRun)
    }

    /// Replaces the verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Accessors.
impl Error {
    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the human-readable message.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns how long to wait before a retry, if a retry may succeed.
    #[must_use]
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.kind, self.message, self.verdict)
    }
}

impl std::error::Error for Error {}
