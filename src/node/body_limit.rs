use warp::http::HeaderMap;
use warp::reject::Reject;
use warp::{Filter, Rejection};

use crate::error::{Error, ErrorKind};

use super::calls;
use super::request::header;

/// A refusal that is decided before the body is read.
#[derive(Debug)]
pub(super) struct Refused(pub(super) Error);

impl Reject for Refused {}

/// Extracts the headers of a request whose body is at most `limit` bytes long.
///
/// The limit is a setting that may differ between nodes, so that the verdict of a request with an
/// idempotency key is that of an attempt that another node may have accepted.
pub(super) fn headers(
    limit: u64,
) -> impl Filter<Extract = (HeaderMap,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::header::headers_cloned().and_then(move |headers: HeaderMap| async move {
        let length = header(&headers, "content-length").and_then(|text| text.parse::<u64>().ok());
        let error = match length {
            Some(length) if length <= limit => return Ok(headers),
            Some(_) => Error::not_run(ErrorKind::TooLarge, "the body exceeds the limit"),
            None => Error::not_run(ErrorKind::Malformed, "a content length is required"),
        };
        let keyed = headers.contains_key("idempotency-key");
        let refused = Refused(calls::unproven(error, keyed));
        Err(warp::reject::custom(refused))
    })
}
