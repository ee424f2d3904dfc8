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

/// What an engine sends on a stream.
#[derive(Debug)]
pub(super) enum Item {
    Start(Start),
    Token(Token),
    Done,
    /// The engine gave the stream up.
    Failed(Error),
    /// The connection broke.
    Cut(Error),
}

/// A connection on which an engine sends a stream.
pub(super) struct Feed {
    events: Pin<Box<dyn Stream<Item = Result<Event, Error>> + Send>>,
    pub(super) address: SocketAddr,
    pub(super) attempt: u32,
}

impl Feed {
    fn new(response: Response<Incoming>, address: SocketAddr, attempt: u32) -> Self {
        Self {
            events: transport::events(response.into_body()),
            address,
            attempt,
        }
    }

    /// Returns the next item.
    pub(super) async fn next(&mut self) -> Item {
        match self.events.next().await {
            Some(Ok(event)) => self.item(&event).unwrap_or_else(Item::Failed),
            Some(Err(error)) => Item::Cut(error),
            None => Item::Cut(failed(self.address, "closed the stream")),
        }
    }

    fn item(&self, event: &Event) -> Result<Item, Error> {
        Ok(match event.name.as_str() {
            "start" => Item::Start(event.parse()?),
            "token" => Item::Token(event.parse()?),
            "done" => event.parse::<Done>().map(|_| Item::Done)?,
            _ => Item::Failed(failed(self.address, &event.data)),
        })
    }
}

/// Streams of engines.
impl Node {
    /// Starts a stream on an engine.
    pub(super) async fn generate(
        &self,
        address: SocketAddr,
        order: &Generate,
    ) -> Result<Feed, Error> {
        let response = self.post(address, "/generate", order).await?;
        Ok(Feed::new(response, address, order.attempt))
    }

    /// Starts a stream on an engine from the KV cache that another engine exported.
    pub(super) async fn import(&self, address: SocketAddr, order: &Import) -> Result<Feed, Error> {
        let response = self.post(address, "/import", order).await?;
        Ok(Feed::new(response, address, order.attempt))
    }

    /// Continues to read a stream from an offset on, over a new connection.
    ///
    /// Connections to an engine can stall while new ones work, so that only a new one shows
    /// whether the engine still serves the stream.
    pub(super) async fn attach(
        &self,
        source: &Source,
        from: u32,
        attempt: u32,
    ) -> Result<Feed, Error> {
        let path = format!("/streams/{}?from={from}", source.handle);
        let response = self
            .fresh(source.address, Method::GET, &path, Bytes::new())
            .await?;
        Ok(Feed::new(response, source.address, attempt))
    }

    /// Asks an engine to make the KV cache of a stream available to another engine.
    pub(super) async fn export(&self, source: &Source) -> Result<Export, Error> {
        let path = format!("/streams/{}/export", source.handle);
        let request = self
            .http
            .request(Method::POST, source.address, &path, Bytes::new())?;
        let response = self.http.send(request).await.and_then(success)?;
        let body = self.http.body(response).await?;
        serde_json::from_slice(&body).map_err(|error| failed(source.address, &error.to_string()))
    }

    /// Tells an engine that nobody needs a stream any more; its answer does not matter, because
    /// the engine ends the stream by itself later.
    pub(super) fn cancel(self: &Arc<Self>, source: Source) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let path = format!("/streams/{}", source.handle);
            let _ = node
                .fresh(source.address, Method::DELETE, &path, Bytes::new())
                .await;
        });
    }

    /// Posts over a pooled connection and, when nothing comes back on it, over a new one.
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
        let bound = self.settings.stall_ms;
        match timeout(bound.into(), self.http.send(request)).await {
            Ok(Ok(response)) => success(response),
            Ok(Err(error)) if error.verdict() == Verdict::NotRun => Err(error),
            _ => self.fresh(address, Method::POST, path, body).await,
        }
    }

    async fn fresh(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = self.http.request(method, address, path, body)?;
        let bound = self.settings.stall_ms;
        timeout(bound.into(), self.http.send_once(address, request))
            .await
            .unwrap_or_else(|_| Err(failed(address, &format!("no answer within {bound}"))))
            .and_then(success)
    }
}

fn success(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    Err(Error::may_have_run(
        ErrorKind::EndpointFailed,
        format!("the engine answered {status}"),
    ))
}

fn failed(address: SocketAddr, reason: &str) -> Error {
    Error::may_have_run(ErrorKind::EndpointFailed, format!("{address}: {reason}"))
}
