use std::convert::Infallible;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::access::Identity;
use crate::clock::Millis;
use crate::control::Active;
use crate::endpoint::Endpoint;
use crate::error::{Error, ErrorKind};

use super::Node;
use super::life::Stage;
use super::refusal::refusal;
use super::request::header;

/// Notice that the host will be reclaimed after this time.
#[derive(Debug, Deserialize)]
struct Notice {
    deadline_ms: Millis,
}

#[derive(Debug, Serialize)]
struct Dump {
    node: Arc<str>,
    stage: Stage,
    active: Option<Arc<Active>>,
    endpoints: Vec<Endpoint>,
    streams: usize,
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
        .and(with.clone())
        .map(
            |headers: HeaderMap, node: Arc<Node>| match operator(&node, &headers) {
                Ok(()) => warp::reply::json(&node.dump()).into_response(),
                Err(error) => refusal(&error),
            },
        )
        .boxed();
    let notice = warp::path!("admin" / "notice")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::json())
        .and(with.clone())
        .map(|headers: HeaderMap, body: Notice, node: Arc<Node>| {
            leave(&node, &headers, |node| node.notice(body.deadline_ms))
        })
        .boxed();
    let drain = warp::path!("admin" / "drain")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(with)
        .map(|headers: HeaderMap, node: Arc<Node>| leave(&node, &headers, Node::ask_drain))
        .boxed();
    metrics
        .or(dump)
        .unify()
        .or(notice)
        .unify()
        .or(drain)
        .unify()
        .recover(recover)
        .unify()
}

fn leave<F>(node: &Node, headers: &HeaderMap, how: F) -> Response
where
    F: FnOnce(&Node),
{
    match operator(node, headers) {
        Ok(()) => {
            how(node);
            warp::reply::with_status("leaving\n", StatusCode::ACCEPTED).into_response()
        }
        Err(error) => refusal(&error),
    }
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
            stage: self.life.stage(),
            active: self.active.load_full(),
            endpoints: endpoints.iter().map(|(_, e)| e.clone()).collect(),
            streams: self.streams.len(),
        }
    }
}

async fn recover(_: Rejection) -> Result<Response, Infallible> {
    let body = warp::reply::with_status("no such path\n", StatusCode::NOT_FOUND);
    Ok(body.into_response())
}
