use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

/// Time within which a request body has to arrive; it bounds what a slow sender can occupy.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// `TooLarge` beyond the limit, and `Malformed` when the body is cut off or takes too long. The
/// request did not run in either case.
pub async fn read_body<S, B>(body: S, limit: u64) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    timeout(BODY_TIMEOUT.into(), read(body, limit))
        .await
        .map_err(|_| {
            let message = format!("the body did not arrive within {BODY_TIMEOUT}");
            Error::not_run(ErrorKind::Malformed, message)
        })?
}

async fn read<S, B>(body: S, limit: u64) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|error| {
            Error::not_run(
                ErrorKind::Malformed,
                format!("the body was cut off: {error}"),
            )
        })?;
        if (bytes.len() + part.remaining()) as u64 > limit {
            let message = format!("the body exceeds the limit of {limit} bytes");
            return Err(Error::not_run(ErrorKind::TooLarge, message));
        }
        while part.has_remaining() {
            let chunk = part.chunk();
            bytes.extend_from_slice(chunk);
            let length = chunk.len();
            part.advance(length);
        }
    }
    Ok(bytes.freeze())
}
