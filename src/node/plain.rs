use std::sync::Arc;

use hyper::Method;
use tokio::sync::OwnedSemaphorePermit;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::error::{Error, ErrorKind};
use crate::rollout::Outcome;

use super::Node;
use super::request::{Request, header};
use super::rollouts::Timing;

/// Calls a plain service and passes its response through.
pub(super) async fn call(
    node: &Arc<Node>,
    request: Request,
    permit: OwnedSemaphorePermit,
) -> Result<Response, Error> {
    let key = header(&request.headers, "idempotency-key");
    if !request.route.idempotent && key.is_none() {
        return Err(Error::not_run(
            ErrorKind::KeyMissing,
            format!(
                "the route `{}` requires an idempotency key",
                request.route.name
            ),
        ));
    }
    let (endpoint, address) = node
        .choose(&request.route.service, request.id)
        .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no endpoint is available"))?;
    let path = format!("/call/{}", request.route.name);
    let mut call = node
        .http
        .request(Method::POST, address, &path, request.body.clone())?;
    if let Some(key) = key.and_then(|key| HeaderValue::from_str(key).ok()) {
        call.headers_mut().insert("idempotency-key", key);
    }
    let mut timing = Timing::start(node.clock.now());
    node.count(endpoint, true);
    let answer = if request.route.idempotent {
        node.http.send(call).await
    } else {
        node.http.send_once(address, call).await
    };
    node.count(endpoint, false);
    timing.token(node.clock.now());
    let outcome = match &answer {
        Ok(answer) if answer.status().is_server_error() => Outcome::Failed,
        answer => timing.outcome(answer.as_ref().err()),
    };
    node.observe(endpoint, &request.route.name, outcome);
    let answer = answer?;
    let status = answer.status();
    let body = node.http.body(answer).await?;
    drop(permit);
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    Ok(response)
}
