use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

/// Time within which a request body must arrive, so that a slow sender does not hold resources for
/// longer.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// `TooLarge` if the body exceeds the limit, `Malformed` if it is incomplete or does not arrive in
/// time. The request did not run in either case.
pub async fn read_body<S, B>(body: S, limit: u64) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    timeout(BODY_TIMEOUT.into(), read(body, limit))
        .await
        .map_err(|_| {
            let message = format!("the request body did not arrive within {BODY_TIMEOUT}");
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
    while let Some(buffer) = body.next().await {
        let mut buffer = buffer.map_err(|error| {
            Error::not_run(
                ErrorKind::Malformed,
                format!("the request body is incomplete: {error}"),
            )
        })?;
        if (bytes.len() + buffer.remaining()) as u64 > limit {
            let message = format!("the request body exceeds the limit of {limit} bytes");
            return Err(Error::not_run(ErrorKind::TooLarge, message));
        }
        while buffer.has_remaining() {
            let chunk = buffer.chunk();
            bytes.extend_from_slice(chunk);
            let length = chunk.len();
            buffer.advance(length);
        }
    }
    Ok(bytes.freeze())
}
