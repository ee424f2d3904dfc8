use std::sync::Arc;

use serde::Deserialize;
use warp::filters::BoxedFilter;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::clock::Millis;

use super::Node;
use super::admin::authenticate_operator;
use super::refusal::refusal;

/// Largest body of a `POST /admin/notice` request.
const MAX_BODY_BYTES: u64 = 1_024;

/// Notice that the host will be reclaimed after `deadline_ms`.
#[derive(Debug, Deserialize)]
struct Notice {
    deadline_ms: Millis,
}

/// Returns the filters that shut the process down: `POST /admin/drain` and `POST /admin/notice`.
pub(super) fn filter(node: Arc<Node>) -> BoxedFilter<(Response,)> {
    let with_node = warp::any().map(move || Arc::clone(&node));
    let notice = warp::path!("admin" / "notice")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .and(with_node.clone())
        .map(|headers: HeaderMap, body: Notice, node: Arc<Node>| {
            shut_down(&node, &headers, |node| {
                node.request_handover(body.deadline_ms)
            })
        })
        .boxed();
    let drain = warp::path!("admin" / "drain")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(with_node)
        .map(|headers: HeaderMap, node: Arc<Node>| shut_down(&node, &headers, Node::request_drain))
        .boxed();
    notice.or(drain).unify().boxed()
}

/// Authenticates an operator and starts a shutdown.
fn shut_down<F>(node: &Node, headers: &HeaderMap, start: F) -> Response
where
    F: FnOnce(&Node),
{
    match authenticate_operator(node, headers) {
        Ok(_) => {
            start(node);
            warp::reply::with_status("leaving\n", StatusCode::ACCEPTED).into_response()
        }
        Err(error) => refusal(&error),
    }
}
