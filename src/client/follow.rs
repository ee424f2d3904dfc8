use std::net::SocketAddr;

use bytes::Bytes;
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::{Method, Response};
use serde::Deserialize;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

use crate::clock::Millis;
use crate::endpoint::Done;
use crate::error::{Error, ErrorKind};
use crate::transport;

use super::directory::Directory;
use super::post::jittered;
use super::{Client, Progress, Text};

/// Pause before another node is asked for the rest of a response.
const PAUSE: Millis = Millis(100);

/// Time for which every node may say that it does not know the request before it is sent again;
/// longer than the backup node needs to notice that the owner is gone.
const UNKNOWN_BOUND: Millis = Millis(8_000);

#[derive(Debug, Deserialize)]
struct Moved {
    addresses: Vec<SocketAddr>,
}

/// Why a connection to a node ended before the response did.
enum Interruption {
    Lost,
    Moved(Vec<SocketAddr>),
}

/// Follows a streamed response to its end; none when no node knows it any more.
pub(super) async fn follow<F>(
    client: &Client,
    directory: &mut Directory,
    id: Uuid,
    response: Response<Incoming>,
    until: Millis,
    progress: &mut F,
) -> Result<Option<String>, Error>
where
    F: FnMut(Progress<'_>),
{
    let mut text = Text::default();
    let mut response = Some(response);
    let mut unknown_since = None;
    loop {
        let now = client.clock.now();
        if now >= until {
            return Err(Error::may_have_run(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed before the response was complete",
            ));
        }
        if let Some(response) = response.take() {
            unknown_since = None;
            // Keep-alives go on while a node waits, so that silence alone does not end the call.
            let reading = read(client, response, &mut text, progress);
            let Ok(read) = timeout((until - now).into(), reading).await else {
                continue;
            };
            match read? {
                None => return Ok(Some(text.as_str().to_owned())),
                Some(Interruption::Moved(addresses)) => directory.prefer(&addresses),
                Some(Interruption::Lost) => {}
            }
        }
        match reconnect(client, directory, id, &text).await {
            Ok(next) => response = Some(next),
            Err(error) => {
                if error.kind() == ErrorKind::Unauthorized {
                    return Err(error);
                }
                let since = *unknown_since.get_or_insert(now);
                if error.kind() == ErrorKind::NotFound && now - since >= UNKNOWN_BOUND {
                    return Ok(None);
                }
                sleep(jittered(PAUSE)).await;
            }
        }
    }
}

/// Reads one connection; none at the end of the response.
async fn read<F>(
    client: &Client,
    response: Response<Incoming>,
    text: &mut Text,
    progress: &mut F,
) -> Result<Option<Interruption>, Error>
where
    F: FnMut(Progress<'_>),
{
    let mut events =
        transport::events_with_idle_timeout(response.into_body(), client.stall_timeout);
    while let Some(Ok(event)) = events.next().await {
        match event.name.as_str() {
            "chunk" => {
                let chunk = event.parse()?;
                if text.push(&chunk) {
                    progress(Progress::Text(&chunk.text));
                }
            }
            "restart" => {
                text.restart(event.parse()?);
                progress(Progress::Restart(text.as_str()));
            }
            "done" => {
                let done: Done = event.parse()?;
                // A shorter text has lost a part on the way.
                let complete = done.tokens == text.cursor().offset;
                return Ok((!complete).then_some(Interruption::Lost));
            }
            "error" => return Err(event.parse()?),
            "moved" => {
                let moved: Moved = event.parse()?;
                return Ok(Some(Interruption::Moved(moved.addresses)));
            }
            _ => {}
        }
    }
    Ok(Some(Interruption::Lost))
}

async fn reconnect(
    client: &Client,
    directory: &mut Directory,
    id: Uuid,
    text: &Text,
) -> Result<Response<Incoming>, Error> {
    let address = directory.next(client.clock.now()).await?;
    let cursor = text.cursor();
    let attempt = cursor.attempt.map(|attempt| format!("&attempt={attempt}"));
    let path = format!(
        "/v1/requests/{id}?offset={}{}",
        cursor.offset,
        attempt.unwrap_or_default()
    );
    let mut request = client
        .http
        .request(Method::GET, address, &path, Bytes::new())?;
    let headers = request.headers_mut();
    headers.insert("authorization", client.authorization()?);
    // A pooled connection may have stalled together with the one that was lost.
    let sent = client.http.send_unpooled(address, request);
    let response = timeout(client.stall_timeout.into(), sent)
        .await
        .map_err(|_| {
            Error::may_have_run(ErrorKind::Unavailable, format!("no answer from {address}"))
        })??;
    if response.status().is_success() {
        return Ok(response);
    }
    let body = client.http.body(response).await?;
    Err(serde_json::from_slice(&body)
        .unwrap_or_else(|_| Error::may_have_run(ErrorKind::EndpointFailed, "unexpected answer")))
}
