use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, Uri};
use serde::Serialize;

use crate::clock::Millis;
use crate::gateway::{
    Body, Dialect, ForwardMetadata, Load, Prompt, RequestMetadata, ResponseMetadata, Segment,
};

/// Id of a caller's attempt.
const ATTEMPT: &str = "x-almondpath-attempt-id";
/// Time for which the caller waits, in milliseconds, not a point in time.
const DEADLINE: &str = "x-almondpath-deadline-ms";
/// Tokens of the prompt, and most tokens of the response.
const TOKENS: &str = "x-almondpath-token-usage";
/// Parts of the prompt in order.
const PREFIX: &str = "x-almondpath-prompt-prefix";
/// Estimate of the tokens of the response.
const HINT: &str = "x-almondpath-length-hint";
/// Key of a client account.
const KEY: &str = "x-api-key";
/// Client account, set for the endpoint.
const TENANT: &str = "x-almondpath-tenant";
/// Number of the last event that the caller has.
const LAST_EVENT: &str = "last-event-id";
/// The only endpoint that may run the request.
const EXPECT: &str = "x-almondpath-expect-instance";
/// Rank at the endpoint, 0 to 9.
const RANK: &str = "x-almondpath-request-priority";
/// States that the endpoint did not run the request.
const NOT_EXECUTED: &str = "x-almondpath-not-executed";
/// Mark of an endpoint's response.
const SIGNATURE: &str = "x-almondpath-engine-signature";
/// Running and waiting requests, and slots.
const LOAD: &str = "x-almondpath-engine-load";

/// Headers that callers must not set: the gateway sets them, or nobody does.
const RESERVED: &[&str] = &[
    KEY,
    TENANT,
    EXPECT,
    RANK,
    "x-almondpath-expect-version",
    "x-almondpath-hold",
    "x-almondpath-pin-ms",
    "x-almondpath-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// Headers that concern one connection.
const CONNECTION: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// The headers of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headers;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn prompt(headers: &HeaderMap) -> Option<Prompt> {
    let (input, output) = text(headers, TOKENS)?.split_once(',')?;
    let parts = text(headers, PREFIX).unwrap_or_default();
    Some(Prompt {
        input_tokens: input.trim().parse().ok()?,
        max_output_tokens: output.trim().parse().ok()?,
        output_hint: number(headers, HINT),
        segments: parts.split(',').filter_map(part).collect(),
    })
}

fn part(text: &str) -> Option<Segment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Segment {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

fn load(headers: &HeaderMap) -> Option<Load> {
    let mut numbers = text(headers, LOAD)?
        .split(',')
        .map(|n| n.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// Copies headers without those of one connection and those that `Connection` names.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let hop = CONNECTION.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !hop || name == ATTEMPT {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

#[derive(Serialize)]
struct Directory<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: u64,
}

impl Dialect for Headers {
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata {
            id: text(headers, ATTEMPT).map(Arc::from),
            api_key: text(headers, KEY).map(Arc::from),
            timeout: number(headers, DEADLINE).map(Millis),
            prompt: prompt(headers),
            resume_after: number(headers, LAST_EVENT),
        }
    }

    fn forward_headers(&self, headers: &HeaderMap, onward: &ForwardMetadata) -> HeaderMap {
        let mut copy = end_to_end(headers);
        for name in RESERVED {
            copy.remove(*name);
        }
        // The body is sent with a length of its own.
        copy.remove(header::CONTENT_LENGTH);
        set(&mut copy, DEADLINE, &onward.timeout.0.to_string());
        set(&mut copy, EXPECT, &onward.endpoint);
        if let Some(account) = &onward.account {
            set(&mut copy, TENANT, account);
        }
        if let Some(event) = onward.resume_after {
            set(&mut copy, LAST_EVENT, &event.to_string());
        }
        if let Some(rank) = onward.priority {
            set(&mut copy, RANK, &rank.to_string());
        }
        copy
    }

    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata {
            id: text(headers, ATTEMPT).map(Arc::from),
            not_executed: headers.contains_key(NOT_EXECUTED),
            signed: headers.contains_key(SIGNATURE),
            load: load(headers),
        }
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        end_to_end(headers)
    }

    fn directory_response(&self, _: &Uri, addresses: &[SocketAddr], ttl: Millis) -> Response<Body> {
        let answer = Directory {
            addresses,
            ttl_s: (ttl.0 / 1_000).max(1),
        };
        let body = serde_json::to_vec(&answer).expect("addresses are plain text");
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}
