use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Response, StatusCode, header};

use crate::clock::Millis;

use super::Body;

/// Why the gateway responds to a request itself instead of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request can't be parsed.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The key belongs to no account.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The account is over its quota.
    Quota,
    /// No configuration is known yet.
    NoConfig,
    /// No endpoint accepts requests.
    NoEndpoint,
    /// No endpoint is expected to respond in time, or the node has too many requests in flight.
    Overload,
    /// The bodies of requests exceed the memory for them.
    Memory,
    /// Requests with a part of this prompt crashed endpoints.
    Quarantined,
    /// Endpoints declined to run the request, and it can't be retried.
    Declined,
    /// The deadline passed before the request ran.
    Expired,
    /// The response was lost; the request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    Timeout,
    /// The caller did not send the whole request in time.
    SlowCaller,
    /// The node shuts down and may end before the request does.
    Leaving,
    /// The node ends while the request is at an endpoint; it may have run.
    Interrupted,
}

impl Reason {
    /// Returns the name used in response bodies, metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::Quota => "quota",
            Self::NoConfig => "no_config",
            Self::NoEndpoint => "no_endpoint",
            Self::Overload => "overload",
            Self::Memory => "memory",
            Self::Quarantined => "quarantined",
            Self::Declined => "declined",
            Self::Expired => "expired",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::SlowCaller => "slow_caller",
            Self::Leaving => "leaving",
            Self::Interrupted => "interrupted",
        }
    }

    /// Returns the status code.
    ///
    /// The codes 408, 429 and 503 guarantee that the request has not run and never will; 502 and
    /// 504 guarantee nothing.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Quota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfig
            | Self::NoEndpoint
            | Self::Overload
            | Self::Memory
            | Self::Quarantined
            | Self::Declined
            | Self::Expired
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::Lost | Self::Interrupted => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A response that the gateway generates itself instead of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal without a `Retry-After`.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Millis) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the HTTP response, with a JSON body that names the reason.
    #[must_use]
    pub fn response(self) -> Response<Body> {
        let text = format!("{{\"error\":\"{}\"}}", self.reason.as_str());
        let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/json"),
        );
        if let Some(delay) = self.retry_after {
            insert_retry_after(headers, delay);
        }
        response
    }
}

fn insert_retry_after(headers: &mut HeaderMap, delay: Millis) {
    // Rounded up: a caller that returns too early is refused again.
    let hundredths = delay.0.div_ceil(10);
    let seconds = format!("{}.{:02}", hundredths / 100, hundredths % 100);
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        headers.insert(header::RETRY_AFTER, value);
    }
}
