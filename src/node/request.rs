use std::sync::Arc;

use bytes::Bytes;
use uuid::Uuid;
use warp::http::HeaderMap;

use crate::access::Identity;
use crate::clock::Millis;
use crate::config::Route;
use crate::control::Active;
use crate::error::{Error, ErrorKind};

use super::Node;

/// A request whose headers are valid.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: Uuid,
    pub(super) account: Arc<str>,
    pub(super) active: Arc<Active>,
    pub(super) route: Route,
    /// On the monotonic clock.
    pub(super) deadline: Millis,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Request {
    /// Authenticates a request to a route and parses its headers.
    pub(super) fn parse(
        node: &Node,
        route: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Self, Error> {
        let account = node.authenticate_account(&headers)?;
        let active = node.active.load_full().ok_or_else(|| {
            Error::not_run(ErrorKind::Unavailable, "this node has no configuration yet")
        })?;
        let route = active.config.route(route).cloned().ok_or_else(|| {
            Error::not_run(ErrorKind::NotFound, format!("there is no route `{route}`"))
        })?;
        let id = parse_header(&headers, "x-request-id")?.unwrap_or_else(Uuid::now_v7);
        let limit = parse_header(&headers, "x-deadline-ms")?.map_or(route.deadline_ms, Millis);
        let deadline = node.clock.now() + limit.min(route.deadline_ms);
        Ok(Self {
            id,
            account,
            active,
            route,
            deadline,
            headers,
            body,
        })
    }
}

impl Node {
    /// Authenticates a request and returns its client account.
    pub(super) fn authenticate_account(&self, headers: &HeaderMap) -> Result<Arc<str>, Error> {
        match self
            .access
            .load()
            .identify(header(headers, "authorization"))
        {
            Some(Identity::Account(name)) => Ok(name),
            Some(Identity::Operator(_)) => Err(Error::not_run(
                ErrorKind::Unauthorized,
                "an operator's token is not valid for routes",
            )),
            None => Err(Error::not_run(
                ErrorKind::Unauthorized,
                "a valid bearer token is required",
            )),
        }
    }
}

/// Returns the value of a header, if it is present and text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses an optional header.
pub(super) fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Error>
where
    T: std::str::FromStr,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        Error::not_run(
            ErrorKind::Malformed,
            format!("the header `{name}` is not valid"),
        )
    })
}
