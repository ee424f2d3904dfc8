use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::config::Kind;
use crate::error::{Error, ErrorKind};

use super::refusal::refusal;
use super::request::Request;
use super::{Node, model, plain};

/// Time for which a caller may keep an address response.
const ADDRESS_TTL_MS: u64 = 2_000;

#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct Address {
    address: String,
    domain: Arc<str>,
}

#[derive(Debug, Deserialize)]
struct Position {
    #[serde(default)]
    offset: u32,
}

/// Returns the HTTP interface for callers.
pub(super) fn filter(
    node: Arc<Node>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
+ Clone
+ Send
+ Sync
+ 'static
+ use<> {
    let limit = node.settings.body_limit_bytes;
    let with = warp::any().map(move || Arc::clone(&node));
    let addresses = warp::path!("v1" / "addresses")
        .and(warp::get())
        .and(with.clone())
        .map(|node: Arc<Node>| addresses(&node))
        .boxed();
    let route = warp::path!("v1" / "routes" / String)
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(limit))
        .and(warp::body::bytes())
        .and(with.clone())
        .then(|route: String, headers, body, node| async move {
            call(node, &route, headers, body).await
        })
        .boxed();
    let resume = warp::path!("v1" / "requests" / Uuid)
        .and(warp::get())
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .and(with.clone())
        .map(
            |id, position: Position, headers: HeaderMap, node: Arc<Node>| {
                resume(&node, id, position.offset, &headers).unwrap_or_else(|e| refusal(&e))
            },
        )
        .boxed();
    let health = warp::path!("healthz")
        .and(warp::get())
        .map(|| "ok\n".into_response())
        .boxed();
    let ready = warp::path!("readyz")
        .and(warp::get())
        .and(with)
        .map(|node: Arc<Node>| ready(&node))
        .boxed();
    addresses
        .or(route)
        .unify()
        .or(resume)
        .unify()
        .or(health)
        .unify()
        .or(ready)
        .unify()
        .recover(recover)
        .unify()
}

fn addresses(node: &Node) -> Response {
    let body = Addresses {
        addresses: vec![Address {
            address: node.settings.listen.to_string(),
            domain: Arc::clone(&node.settings.failure_domain),
        }],
        ttl_ms: ADDRESS_TTL_MS,
    };
    warp::reply::json(&body).into_response()
}

async fn call(node: Arc<Node>, route: &str, headers: HeaderMap, body: Bytes) -> Response {
    let result = async {
        let request = Request::parse(&node, route, headers, body)?;
        let permit = Arc::clone(&node.permits).try_acquire_owned().map_err(|_| {
            Error::not_run(ErrorKind::Overloaded, "too many requests are in flight")
        })?;
        let permit = node.admit(&request, permit).await?;
        let service = request.active.config.service(&request.route.service);
        match service.map(|service| service.kind) {
            Some(Kind::Model) => model::call(&node, request, permit),
            Some(Kind::Plain) => plain::call(&node, request, permit).await,
            None => Err(Error::not_run(
                ErrorKind::Unavailable,
                format!("the service `{}` is not configured", request.route.service),
            )),
        }
    };
    result.await.unwrap_or_else(|error| refusal(&error))
}

fn resume(node: &Arc<Node>, id: Uuid, offset: u32, headers: &HeaderMap) -> Result<Response, Error> {
    let account = node.account(headers)?;
    let entry = node
        .streams
        .get(id)
        .filter(|entry| entry.account == account)
        .ok_or_else(|| {
            Error::may_have_run(
                ErrorKind::NotFound,
                format!("request {id} is not known here"),
            )
        })?;
    Ok(model::follow(entry, offset))
}

fn ready(node: &Node) -> Response {
    if node.active.load().is_some() && !node.token.is_cancelled() {
        return "ready\n".into_response();
    }
    warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE).into_response()
}

async fn recover(rejection: Rejection) -> Result<Response, Infallible> {
    let error = if rejection.is_not_found() {
        Error::not_run(ErrorKind::NotFound, "there is no such path")
    } else if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        Error::not_run(ErrorKind::TooLarge, "the body exceeds the limit")
    } else {
        Error::not_run(ErrorKind::Malformed, "the request can't be parsed")
    };
    Ok(refusal(&error))
}
