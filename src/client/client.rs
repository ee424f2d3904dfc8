use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use hyper::Method;
use hyper::header::HeaderValue;
use serde::Deserialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::stream::Chunk;
use crate::transport;

const TIMEOUT: Millis = Millis(30_000);

/// A caller with the token of a client account.
#[derive(Clone, Debug)]
pub struct Client {
    http: transport::Client,
    nodes: Vec<SocketAddr>,
    token: Arc<str>,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The text of a model's response.
    Text(String),
    /// The body that a plain service sent.
    Body(Bytes),
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<Address>,
}

#[derive(Debug, Deserialize)]
struct Address {
    address: SocketAddr,
}

impl Client {
    /// Creates a caller that knows these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>, token: Arc<str>) -> Self {
        Self {
            http: transport::Client::new(TIMEOUT),
            nodes,
            token,
        }
    }

    /// Asks the known nodes in turn which addresses to use.
    ///
    /// # Errors
    ///
    /// Fails when none of them answers.
    pub async fn resolve(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut last = Error::not_run(ErrorKind::Unavailable, "no node is known");
        for node in &self.nodes {
            match self
                .http
                .get_json::<Addresses>(*node, "/v1/addresses")
                .await
            {
                Ok(found) => return Ok(found.addresses.iter().map(|a| a.address).collect()),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Calls a route and collects the response; `progress` sees each piece of text.
    ///
    /// # Errors
    ///
    /// Fails with the verdict of the node, or with the client's own when the node is gone.
    pub async fn call<F>(
        &self,
        route: &str,
        key: Option<&str>,
        body: Bytes,
        mut progress: F,
    ) -> Result<Reply, Error>
    where
        F: FnMut(&str),
    {
        let address = *self
            .resolve()
            .await?
            .first()
            .ok_or_else(|| Error::not_run(ErrorKind::Unavailable, "no address to use"))?;
        let path = format!("/v1/routes/{route}");
        let mut request = self.http.request(Method::POST, address, &path, body)?;
        let headers = request.headers_mut();
        headers.insert("authorization", header(&format!("Bearer {}", self.token))?);
        if let Some(key) = key {
            headers.insert("idempotency-key", header(key)?);
        }
        let response = self.http.send(request).await?;
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        if streamed {
            return follow(response, &mut progress).await;
        }
        let status = response.status();
        let body = self.http.body(response).await?;
        if status.is_success() {
            return Ok(Reply::Body(body));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|_| {
            Error::may_have_run(ErrorKind::EndpointFailed, format!("status {status}"))
        }))
    }
}

async fn follow<F>(
    response: hyper::Response<hyper::body::Incoming>,
    progress: &mut F,
) -> Result<Reply, Error>
where
    F: FnMut(&str),
{
    let mut events = transport::events(response.into_body());
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event?;
        match event.name.as_str() {
            "chunk" => {
                let chunk: Chunk = event.parse()?;
                progress(&chunk.text);
                text.push_str(&chunk.text);
            }
            "done" => return Ok(Reply::Text(text)),
            "error" => return Err(event.parse()?),
            _ => {}
        }
    }
    Err(Error::may_have_run(
        ErrorKind::EndpointFailed,
        "the response was cut off",
    ))
}

fn header(text: &str) -> Result<HeaderValue, Error> {
    HeaderValue::from_str(text).map_err(|_| {
        Error::not_run(
            ErrorKind::Malformed,
            "a header value has invalid characters",
        )
    })
}
