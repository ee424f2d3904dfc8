use std::sync::Arc;

use hyper::Method;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::error::{Error, ErrorKind};

use super::Node;
use super::dispatch::{Permit, Target};
use super::request::{Request, header};

/// Calls a plain service and passes its response through.
pub(super) async fn call(
    node: &Arc<Node>,
    request: Request,
    mut permit: Permit,
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
    let target = Target {
        service: &request.route.service,
        class: request.route.class,
        prompt: "",
        exclude: &[],
    };
    let mut placement = node
        .place(&target)
        .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no endpoint is available"))?;
    let address = placement.address;
    let path = format!("/call/{}", request.route.name);
    let mut call = node
        .http
        .request(Method::POST, address, &path, request.body.clone())?;
    if let Some(key) = key.and_then(|key| HeaderValue::from_str(key).ok()) {
        call.headers_mut().insert("idempotency-key", key);
    }
    let answer = if request.route.idempotent {
        node.http.send(call).await
    } else {
        node.http.send_once(address, call).await
    };
    let answer = answer?;
    let status = answer.status();
    let body = node.http.body(answer).await?;
    if status.is_success() {
        placement.succeeded();
        permit.succeeded(0);
    }
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    Ok(response)
}
