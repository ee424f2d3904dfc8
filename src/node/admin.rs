use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::access::Identity;
use crate::config::Config;
use crate::control::{self, Active};
use crate::endpoint::Endpoint;
use crate::error::{Error, ErrorKind};
use crate::log::Offset;
use crate::membership::{Member, Peer};

use super::dispatch::PolicyDump;
use super::lifecycle::Stage;
use super::refusal::refusal;
use super::request::header;
use super::response_dump::{ResponseDump, response_dumps};
use super::shard::Summary;
use super::{Node, shutdown};

/// Largest body of a `POST /admin/publish` request.
const MAX_CONFIG_BYTES: u64 = 1024 * 1024;

/// Body of a `POST /admin/publish` request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publication {
    base: Option<Offset>,
    config: Config,
}

/// Body of the response to `POST /admin/publish`.
#[derive(Debug, Serialize)]
struct Published {
    version: Offset,
}

/// Internal state of a node, as `GET /admin/dump` returns it.
#[derive(Debug, Serialize)]
struct Dump {
    node: Arc<str>,
    stage: Stage,
    active: Option<Arc<Active>>,
    endpoints: Vec<Endpoint>,
    streams: usize,
    policy: PolicyDump,
    own: Member,
    peers: Vec<Peer>,
    calls: Vec<Summary>,
    responses: Vec<ResponseDump>,
    rollouts: Vec<control::Summary>,
}

/// Returns the filters of the HTTP API for operators.
pub(super) fn filter(
    node: Arc<Node>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
+ Clone
+ Send
+ Sync
+ 'static
+ use<> {
    let shutdown = shutdown::filter(Arc::clone(&node));
    let with_node = warp::any().map(move || Arc::clone(&node));
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(with_node.clone())
        .map(|node: Arc<Node>| node.metrics.render().into_response())
        .boxed();
    let dump = warp::path!("admin" / "dump")
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .and(with_node.clone())
        .map(
            |headers: HeaderMap, node: Arc<Node>| match authenticate_operator(&node, &headers) {
                Ok(_) => warp::reply::json(&node.dump()).into_response(),
                Err(error) => refusal(&error),
            },
        )
        .boxed();
    let status = warp::path!("admin" / "status")
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .and(with_node.clone())
        .map(
            |headers: HeaderMap, node: Arc<Node>| match authenticate_operator(&node, &headers) {
                Ok(_) => warp::reply::json(&node.status()).into_response(),
                Err(error) => refusal(&error),
            },
        )
        .boxed();
    let publish = warp::path!("admin" / "publish")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_CONFIG_BYTES))
        .and(warp::body::bytes())
        .and(with_node)
        .then(|headers, body: Bytes, node: Arc<Node>| async move {
            publish(&node, &headers, &body)
                .await
                .unwrap_or_else(|error| refusal(&error))
        })
        .boxed();
    metrics
        .or(dump)
        .unify()
        .or(status)
        .unify()
        .or(publish)
        .unify()
        .or(shutdown)
        .unify()
        .recover(recover)
        .unify()
}

async fn publish(node: &Node, headers: &HeaderMap, body: &[u8]) -> Result<Response, Error> {
    let operator = authenticate_operator(node, headers)?;
    let publication: Publication = serde_json::from_slice(body)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("body: {error}")))?;
    let Publication { base, config } = publication;
    let version =
        control::publish(&node.log_service, node.control(), &operator, base, config).await?;
    Ok(warp::reply::json(&Published { version }).into_response())
}

/// Returns the name of the operator whose bearer token is in the headers.
pub(super) fn authenticate_operator(node: &Node, headers: &HeaderMap) -> Result<Arc<str>, Error> {
    match node
        .access
        .load()
        .identify(header(headers, "authorization"))
    {
        Some(Identity::Operator(name)) => Ok(name),
        _ => Err(Error::not_run(
            ErrorKind::Unauthorized,
            "an operator's token is required",
        )),
    }
}

impl Node {
    fn dump(&self) -> Dump {
        let (own, peers) = {
            let view = self.cluster.view();
            (view.local().clone(), view.peers().cloned().collect())
        };
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        Dump {
            own,
            peers,
            node: Arc::clone(&self.settings.name),
            stage: self.lifecycle.stage(),
            active: self.active.load_full(),
            endpoints: endpoints.iter().map(|(_, e)| e.clone()).collect(),
            streams: self.streams.len(),
            policy: self.dispatch.dump(self.clock.now()),
            calls: self.calls.summaries(),
            responses: response_dumps(self),
            rollouts: self.rollouts.summaries(),
        }
    }
}

async fn recover(_: Rejection) -> Result<Response, Infallible> {
    let body = warp::reply::with_status("no such path\n", StatusCode::NOT_FOUND);
    Ok(body.into_response())
}
