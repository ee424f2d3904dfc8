use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};
use xxhash_rust::xxh3::xxh3_64;

use crate::addressing;
use crate::clock::Millis;
use crate::config::Kind;
use crate::error::{Error, ErrorKind};
use crate::stream::Cursor;
use crate::transport;

use super::lifecycle::Stage;
use super::refusal::refusal;
use super::request::Request;
use super::{Node, backup, calls, model, plain};

/// Body of the response to `GET /v1/addresses`.
#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    ttl_ms: Millis,
}

/// Query of `GET /v1/addresses`.
#[derive(Debug, Deserialize)]
struct AddressQuery {
    session: Option<String>,
}

#[derive(Debug, Serialize)]
struct Address {
    address: String,
    domain: Arc<str>,
}

/// Returns the filters of the HTTP API for callers.
pub(super) fn filter(
    node: Arc<Node>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
+ Clone
+ Send
+ Sync
+ 'static
+ use<> {
    let with_node = warp::any().map(move || Arc::clone(&node));
    let addresses = warp::path!("v1" / "addresses")
        .and(warp::get())
        .and(warp::query())
        .and(with_node.clone())
        .map(|query: AddressQuery, node: Arc<Node>| addresses(&node, query.session.as_deref()))
        .boxed();
    let route = warp::path!("v1" / "routes" / String)
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(with_node.clone())
        .then(|route: String, headers, body, node: Arc<Node>| async move {
            match transport::read_body(body, node.settings.body_limit_bytes).await {
                Ok(body) => call(node, &route, headers, body).await,
                // Body limits may differ between nodes: another one may have accepted the same
                // call.
                Err(error) => {
                    let has_key = headers.contains_key("idempotency-key");
                    refusal(&calls::without_proof(error, has_key))
                }
            }
        })
        .boxed();
    let resume = warp::path!("v1" / "requests" / Uuid)
        .and(warp::get())
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .and(with_node.clone())
        .then(
            |id, cursor: Cursor, headers: HeaderMap, node: Arc<Node>| async move {
                let result = resume(&node, id, cursor, &headers).await;
                result.unwrap_or_else(|e| refusal(&e))
            },
        )
        .boxed();
    let health = warp::path!("healthz")
        .and(warp::get())
        .map(|| "ok\n".into_response())
        .boxed();
    let ready = warp::path!("readyz")
        .and(warp::get())
        .and(with_node)
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

/// Returns the addresses of the nodes, ranked for a session or in random order without one.
fn addresses(node: &Node, session: Option<&str>) -> Response {
    let key = session.map_or_else(rand::random, |session| xxh3_64(session.as_bytes()));
    let ranked = addressing::rank(node.cluster.candidates(node.weight()), key);
    let body = Addresses {
        addresses: ranked
            .into_iter()
            .map(|candidate| Address {
                address: candidate.address.to_string(),
                domain: candidate.domain,
            })
            .collect(),
        ttl_ms: addressing::TTL,
    };
    warp::reply::json(&body).into_response()
}

/// Admits a request to a route and calls its service.
async fn call(node: Arc<Node>, route: &str, headers: HeaderMap, body: Bytes) -> Response {
    let has_key = headers.contains_key("idempotency-key");
    let result = async {
        node.check_accepting()
            .map_err(|error| calls::without_proof(error, has_key))?;
        let request = Request::parse(&node, route, headers, body)
            .map_err(|error| calls::without_proof(error, has_key))?;
        let permit = Arc::clone(&node.permits).try_acquire_owned().map_err(|_| {
            let error = Error::not_run(ErrorKind::Overloaded, "too many requests are in flight");
            calls::without_proof(error.with_retry_after(calls::RETRY_AFTER), has_key)
        })?;
        let permit = node
            .admit(&request, permit)
            .await
            .map_err(|error| calls::without_proof(error, has_key))?;
        node.count_demand(&request.account);
        let service = request.active.config.service(&request.route.service);
        match service.map(|service| service.kind) {
            Some(Kind::Model) => model::call(&node, request, permit).await,
            Some(Kind::Plain) => plain::call(&node, request, permit).await,
            None => Err(calls::without_proof(
                Error::not_run(
                    ErrorKind::Unavailable,
                    format!("the service `{}` is not configured", request.route.service),
                ),
                has_key,
            )),
        }
    };
    result.await.unwrap_or_else(|error| refusal(&error))
}

/// Continues the response of an accepted request.
async fn resume(
    node: &Arc<Node>,
    id: Uuid,
    cursor: Cursor,
    headers: &HeaderMap,
) -> Result<Response, Error> {
    let account = node.authenticate_account(headers)?;
    backup::resume(node, id, &account, cursor).await
}

/// Responds to a readiness probe.
fn ready(node: &Node) -> Response {
    let serving = node.lifecycle.stage() == Stage::Serving && !node.cluster.is_leaving();
    if serving && node.active.load().is_some() {
        return "ready\n".into_response();
    }
    warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE).into_response()
}

async fn recover(rejection: Rejection) -> Result<Response, Infallible> {
    let error = if rejection.is_not_found() {
        Error::not_run(ErrorKind::NotFound, "there is no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        Error::not_run(
            ErrorKind::MethodNotAllowed,
            "the path does not support this method",
        )
    } else {
        Error::not_run(ErrorKind::Malformed, "the request can't be parsed")
    };
    Ok(refusal(&error))
}
