use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use hyper::body::Incoming;
use hyper::{Method, Response};
use serde::Serialize;
use tokio::time::timeout;

use crate::endpoint::{Done, Export, Generate, Import, Start, Token};
use crate::error::{Error, ErrorKind};
use crate::stream::Source;
use crate::transport::{self, Event};
use crate::verdict::Verdict;

use super::Node;

/// An event on a stream from an engine, or the end of its connection.
#[derive(Debug)]
pub(super) enum EngineEvent {
    Start(Start),
    Token(Token),
    Done,
    /// The engine aborted the stream.
    Failed(Error),
    /// The connection broke.
    Disconnected(Error),
}

/// A connection on which an engine streams tokens.
pub(super) struct EngineStream {
    events: Pin<Box<dyn Stream<Item = Result<Event, Error>> + Send>>,
    pub(super) address: SocketAddr,
    pub(super) attempt: u32,
}

impl EngineStream {
    fn new(response: Response<Incoming>, address: SocketAddr, attempt: u32) -> Self {
        Self {
            events: transport::events(response.into_body()),
            address,
            attempt,
        }
    }

    /// Returns the next event.
    pub(super) async fn next(&mut self) -> EngineEvent {
        match self.events.next().await {
            Some(Ok(event)) => self.parse(&event).unwrap_or_else(EngineEvent::Failed),
            Some(Err(error)) => EngineEvent::Disconnected(error),
            None => EngineEvent::Disconnected(endpoint_error(self.address, "closed the stream")),
        }
    }

    /// Parses an event of the engine.
    fn parse(&self, event: &Event) -> Result<EngineEvent, Error> {
        Ok(match event.name.as_str() {
            "start" => EngineEvent::Start(event.parse()?),
            "token" => EngineEvent::Token(event.parse()?),
            "done" => event.parse::<Done>().map(|_| EngineEvent::Done)?,
            _ => EngineEvent::Failed(endpoint_error(self.address, &event.data)),
        })
    }
}

/// Requests to engines.
impl Node {
    /// Starts a stream on an engine.
    pub(super) async fn generate(
        &self,
        address: SocketAddr,
        request: &Generate,
    ) -> Result<EngineStream, Error> {
        let response = self.post(address, "/generate", request).await?;
        Ok(EngineStream::new(response, address, request.attempt))
    }

    /// Starts a stream on an engine from the KV cache that another engine exported.
    pub(super) async fn import(
        &self,
        address: SocketAddr,
        request: &Import,
    ) -> Result<EngineStream, Error> {
        let response = self.post(address, "/import", request).await?;
        Ok(EngineStream::new(response, address, request.attempt))
    }

    /// Attaches to a stream from a token offset on, over a new connection.
    ///
    /// Existing connections to an engine can stall while new ones work, so only a new one shows
    /// whether the engine still serves the stream.
    pub(super) async fn attach(
        &self,
        source: &Source,
        from: u32,
        attempt: u32,
    ) -> Result<EngineStream, Error> {
        let path = format!("/streams/{}?from={from}", source.handle);
        let response = self
            .send_on_new_connection(source.address, Method::GET, &path, Bytes::new())
            .await?;
        Ok(EngineStream::new(response, source.address, attempt))
    }

    /// Asks an engine to make the KV cache of a stream available to another engine.
    pub(super) async fn export(&self, source: &Source) -> Result<Export, Error> {
        let path = format!("/streams/{}/export", source.handle);
        let request = self
            .http
            .request(Method::POST, source.address, &path, Bytes::new())?;
        let response = self.http.send(request).await.and_then(check_status)?;
        let body = self.http.body(response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| endpoint_error(source.address, &error.to_string()))
    }

    /// Cancels a stream that is no longer needed; the response is ignored, because the engine ends
    /// the stream by itself later.
    pub(super) fn cancel(self: &Arc<Self>, source: Source) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let path = format!("/streams/{}", source.handle);
            let _ = node
                .send_on_new_connection(source.address, Method::DELETE, &path, Bytes::new())
                .await;
        });
    }

    /// Sends a POST request over a pooled connection and, if no response arrives, over a new one.
    async fn post<T>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Response<Incoming>, Error>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let body = Bytes::from(body);
        let request = self
            .http
            .request(Method::POST, address, path, body.clone())?;
        let limit = self.settings.stall_ms;
        match timeout(limit.into(), self.http.send(request)).await {
            Ok(Ok(response)) => check_status(response),
            Ok(Err(error)) if error.verdict() == Verdict::NotRun => Err(error),
            _ => {
                self.send_on_new_connection(address, Method::POST, path, body)
                    .await
            }
        }
    }

    /// Sends a request over a new connection, within the stall timeout.
    async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = self.http.request(method, address, path, body)?;
        let limit = self.settings.stall_ms;
        timeout(limit.into(), self.http.send_unpooled(address, request))
            .await
            .unwrap_or_else(|_| {
                Err(endpoint_error(
                    address,
                    &format!("no response within {limit}"),
                ))
            })
            .and_then(check_status)
    }
}

/// Returns the response if its status is a success.
fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    Err(Error::may_have_run(
        ErrorKind::EndpointFailed,
        format!("the engine responded with {status}"),
    ))
}

fn endpoint_error(address: SocketAddr, reason: &str) -> Error {
    Error::may_have_run(ErrorKind::EndpointFailed, format!("{address}: {reason}"))
}
