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
use super::submission::jittered;
use super::{Client, Progress, Text};

/// Delay before the client reconnects to another node after a failure.
const RECONNECT_DELAY: Millis = Millis(100);

/// Time for which all nodes may respond that they do not know the request before the client sends
/// the request again. Longer than the backup node needs to detect the failure of the owner.
const NOT_FOUND_TIMEOUT: Millis = Millis(8_000);

/// Data of a `moved` event: the addresses of the nodes that continue the response.
#[derive(Debug, Deserialize)]
struct Moved {
    addresses: Vec<SocketAddr>,
}

/// Why a connection to a node ended before the response did.
enum Interruption {
    /// The connection failed or stalled.
    Lost,
    /// The node redirected the client to these addresses.
    Moved(Vec<SocketAddr>),
}

/// Receives a streamed response to its end and returns its text; `None` if no node knows the
/// request any more.
pub(super) async fn follow<F>(
    client: &Client,
    directory: &mut Directory,
    id: Uuid,
    response: Response<Incoming>,
    expires_at: Millis,
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
        if now >= expires_at {
            return Err(Error::may_have_run(
                ErrorKind::DeadlineExceeded,
                "the deadline passed before the response was complete",
            ));
        }
        if let Some(response) = response.take() {
            unknown_since = None;
            // A node that waits goes on sending keep-alives, so that the stall timeout alone would
            // not end the call.
            let read = read_events(client, response, &mut text, progress);
            let Ok(result) = timeout((expires_at - now).into(), read).await else {
                continue;
            };
            match result? {
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
                if error.kind() == ErrorKind::NotFound && now - since >= NOT_FOUND_TIMEOUT {
                    return Ok(None);
                }
                sleep(jittered(RECONNECT_DELAY)).await;
            }
        }
    }
}

/// Reads the events of one connection; returns `None` at the end of the response.
async fn read_events<F>(
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
                // A different length means that some events were lost.
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

/// Requests the rest of the response from the next address.
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
    // A pooled connection may have stalled together with the lost one.
    let call = client.http.send_unpooled(address, request);
    let response = timeout(client.stall_timeout.into(), call)
        .await
        .map_err(|_| {
            Error::may_have_run(
                ErrorKind::Unavailable,
                format!("no response from {address}"),
            )
        })??;
    if response.status().is_success() {
        return Ok(response);
    }
    let body = client.http.body(response).await?;
    Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
        Error::may_have_run(
            ErrorKind::EndpointFailed,
            format!("unexpected response from {address}"),
        )
    }))
}
