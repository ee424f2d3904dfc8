use std::convert::Infallible;
use std::sync::Arc;

use serde::Serialize;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::access::Identity;
use crate::control::Active;
use crate::endpoint::Endpoint;
use crate::error::{Error, ErrorKind};

use super::Node;
use super::dispatch::PolicyDump;
use super::refusal::refusal;
use super::request::header;

#[derive(Debug, Serialize)]
struct Dump {
    node: Arc<str>,
    active: Option<Arc<Active>>,
    endpoints: Vec<Endpoint>,
    streams: usize,
    policy: PolicyDump,
}

/// Returns the HTTP interface for operators.
pub(super) fn filter(
    node: Arc<Node>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
+ Clone
+ Send
+ Sync
+ 'static
+ use<> {
    let with = warp::any().map(move || Arc::clone(&node));
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(with.clone())
        .map(|node: Arc<Node>| node.metrics.render().into_response())
        .boxed();
    let dump = warp::path!("admin" / "dump")
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .and(with)
        .map(
            |headers: HeaderMap, node: Arc<Node>| match operator(&node, &headers) {
                Ok(()) => warp::reply::json(&node.dump()).into_response(),
                Err(error) => refusal(&error),
            },
        )
        .boxed();
    metrics.or(dump).unify().recover(recover).unify()
}

fn operator(node: &Node, headers: &HeaderMap) -> Result<(), Error> {
    match node.access.identify(header(headers, "authorization")) {
        Some(Identity::Operator(_)) => Ok(()),
        _ => Err(Error::not_run(
            ErrorKind::Unauthorized,
            "an operator's token is required",
        )),
    }
}

impl Node {
    fn dump(&self) -> Dump {
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        Dump {
            node: Arc::clone(&self.settings.name),
            active: self.active.load_full(),
            endpoints: endpoints.iter().map(|(_, e)| e.clone()).collect(),
            streams: self.streams.len(),
            policy: self.dispatch.dump(self.clock.now()),
        }
    }
}

async fn recover(_: Rejection) -> Result<Response, Infallible> {
    let body = warp::reply::with_status("no such path\n", StatusCode::NOT_FOUND);
    Ok(body.into_response())
}
