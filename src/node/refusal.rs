use warp::Reply;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

use crate::error::Error;

/// Builds the response to a refused or failed request.
pub(super) fn refusal(error: &Error) -> Response {
    metrics::counter!(
        "almondpath_refusals_total",
        "error" => error.kind().as_str(),
        "verdict" => error.verdict().as_str()
    )
    .increment(1);
    let status =
        StatusCode::from_u16(error.kind().status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = warp::reply::json(error);
    let mut response = warp::reply::with_status(body, status).into_response();
    response.headers_mut().insert(
        "x-almondpath-verdict",
        HeaderValue::from_static(error.verdict().as_str()),
    );
    response
}
