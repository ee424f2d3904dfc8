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

/// Id of a request, unique to each of the caller's attempts.
const ATTEMPT: &str = "x-almondpath-attempt-id";
/// Time for which the sender waits for the response, in milliseconds; not a point in time.
const DEADLINE: &str = "x-almondpath-deadline-ms";
/// Tokens of the prompt and maximum tokens of the response, separated by a comma.
const TOKEN_USAGE: &str = "x-almondpath-token-usage";
/// Segments of the prompt in order, as `id:tokens` with a hexadecimal id, separated by commas.
const PROMPT_SEGMENTS: &str = "x-almondpath-prompt-prefix";
/// Estimated tokens of the response.
const OUTPUT_HINT: &str = "x-almondpath-length-hint";
/// API key of a client account.
const API_KEY: &str = "x-api-key";
/// Client account of the caller, for the endpoint.
const ACCOUNT: &str = "x-almondpath-tenant";
/// Id of the last event that the caller received.
const LAST_EVENT: &str = "last-event-id";
/// Id of the only endpoint that may run the request.
const EXPECTED_ENDPOINT: &str = "x-almondpath-expect-instance";
/// Priority at the endpoint, 0 to 9; 0 is the most urgent.
const PRIORITY: &str = "x-almondpath-request-priority";
/// Present if the endpoint did not run the request.
const NOT_EXECUTED: &str = "x-almondpath-not-executed";
/// Marks a response as sent by an endpoint.
const SIGNATURE: &str = "x-almondpath-engine-signature";
/// `1` if the endpoint is leaving.
const LEAVING: &str = "server-leaving";
/// Running requests, waiting requests and slots of the endpoint, separated by commas, and the time that
/// work takes on its host, in percent of the usual one, if it tells.
const LOAD: &str = "x-almondpath-engine-load";

/// Headers that callers must not set and that are removed from their requests. Some of them are set
/// by the gateway, the others are not sent at all.
const RESERVED: &[&str] = &[
    API_KEY,
    ACCOUNT,
    EXPECTED_ENDPOINT,
    PRIORITY,
    "x-almondpath-expect-version",
    "x-almondpath-hold",
    "x-almondpath-pin-ms",
    "x-almondpath-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// Longest retry delay of an endpoint that is taken at its word; a longer one is cut to it.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(24 * 60 * 60);

/// Hop-by-hop headers, and `expect`.
const HOP_BY_HOP: &[&str] = &[
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

/// The platform's HTTP headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headers;

/// Returns the trimmed value of a header, if it is visible ASCII.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn prompt(headers: &HeaderMap) -> Option<Prompt> {
    let (input, output) = text(headers, TOKEN_USAGE)?.split_once(',')?;
    let segments = text(headers, PROMPT_SEGMENTS).unwrap_or_default();
    Some(Prompt {
        input_tokens: input.trim().parse().ok()?,
        max_output_tokens: output.trim().parse().ok()?,
        output_hint: number(headers, OUTPUT_HINT),
        segments: segments.split(',').filter_map(segment).collect(),
    })
}

fn segment(text: &str) -> Option<Segment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(Segment {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Returns the retry delay of a response, in seconds that may have a fraction.
fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = text(headers, header::RETRY_AFTER.as_str())?.parse().ok()?;
    let delay = Millis((seconds * 1_000.0) as u64);
    (seconds > 0.0).then(|| delay.min(MAX_RETRY_AFTER))
}

fn load(headers: &HeaderMap) -> Option<Load> {
    let mut numbers = text(headers, LOAD)?
        .split(',')
        .map(|n| n.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        contention: numbers.next().flatten(),
    })
}

/// Copies the end-to-end headers: all but the hop-by-hop headers and those that a `Connection`
/// header names. The request id is copied even if it is named there.
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
        let hop_by_hop =
            HOP_BY_HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !hop_by_hop || name == ATTEMPT {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

/// Replaces a header; a value that is not valid in a header is left out.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Body of a response at the directory address.
#[derive(Serialize)]
struct Directory<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: u64,
}

impl Dialect for Headers {
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata {
            id: text(headers, ATTEMPT).map(Arc::from),
            api_key: text(headers, API_KEY).map(Arc::from),
            timeout: number(headers, DEADLINE).map(Millis),
            prompt: prompt(headers),
            resume_after: number(headers, LAST_EVENT),
        }
    }

    fn forward_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata) -> HeaderMap {
        let mut copy = end_to_end(headers);
        for name in RESERVED {
            copy.remove(*name);
        }
        // The HTTP client sets the length of the body that it sends.
        copy.remove(header::CONTENT_LENGTH);
        set(&mut copy, DEADLINE, &metadata.timeout.0.to_string());
        set(&mut copy, EXPECTED_ENDPOINT, &metadata.endpoint);
        if let Some(account) = &metadata.account {
            set(&mut copy, ACCOUNT, account);
        }
        if let Some(event) = metadata.resume_after {
            set(&mut copy, LAST_EVENT, &event.to_string());
        }
        if let Some(priority) = metadata.priority {
            set(&mut copy, PRIORITY, &priority.to_string());
        }
        copy
    }

    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata {
            id: text(headers, ATTEMPT).map(Arc::from),
            not_executed: headers.contains_key(NOT_EXECUTED),
            signed: headers.contains_key(SIGNATURE),
            leaving: text(headers, LEAVING) == Some("1"),
            retry_after: retry_after(headers),
            load: load(headers),
        }
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        end_to_end(headers)
    }

    fn directory_response(&self, _: &Uri, addresses: &[SocketAddr], ttl: Millis) -> Response<Body> {
        let directory = Directory {
            addresses,
            ttl_s: (ttl.0 / 1_000).max(1),
        };
        let body = serde_json::to_vec(&directory).expect("addresses are plain text");
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}
