//! Sends calls with chosen headers to chosen nodes and returns everything that the caller sees.

use std::time::Duration;

use std::net::SocketAddr;

use almondpath::clock::{Clock, Millis};
use almondpath::ledger::Key;
use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::Value;

use crate::harness::{ACCOUNT_TOKEN, Cluster, Process, eventually};

/// The response to a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Response {
    /// HTTP status, or 0 if the connection failed.
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    pub(crate) body: Value,
}

impl Response {
    /// Returns whether this is the service's response.
    pub(crate) fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Returns whether this is an error of this kind with this verdict.
    pub(crate) fn is_error(&self, error: &str, verdict: &str) -> bool {
        self.body["error"] == error && self.verdict.as_deref() == Some(verdict)
    }
}

/// A call to the non-idempotent route `contribution`.
#[derive(Clone, Debug)]
pub(crate) struct Contribution {
    pub(crate) key: String,
    deadline_ms: Option<u64>,
}

/// Returns a call with a new idempotency key.
pub(crate) fn new_contribution() -> Contribution {
    aged_contribution(Millis::ZERO)
}

/// Returns a call with a new idempotency key whose time is `age` ago.
pub(crate) fn aged_contribution(age: Millis) -> Contribution {
    Contribution {
        key: Key::new(Clock::system().wall() - age, rand::random()).to_string(),
        deadline_ms: None,
    }
}

impl Contribution {
    /// Sets the deadline that the call sends to the node.
    pub(crate) fn deadline(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Sends the call to a node; returns a response with status 0 if the connection fails.
    pub(crate) async fn send(&self, cluster: &Cluster, node: usize) -> Response {
        let mut headers = vec![
            ("authorization", format!("Bearer {ACCOUNT_TOKEN}")),
            ("idempotency-key", self.key.clone()),
        ];
        headers.extend(self.deadline_ms.map(|d| ("x-deadline-ms", d.to_string())));
        let address = cluster.nodes[node].listen;
        post(cluster, address, "contribution", &headers, "{}").await
    }
}

/// Sends a call to a route with these headers; returns a response with status 0 if the connection
/// fails.
pub(crate) async fn post(
    cluster: &Cluster,
    address: SocketAddr,
    route: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> Response {
    let path = format!("/v1/routes/{route}");
    let body = body.to_owned().into();
    let http = cluster.http.clone().with_timeout(Millis(15_000));
    let mut request = http
        .request(Method::POST, address, &path, body)
        .expect("a valid request");
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a header value");
        request.headers_mut().insert(*name, value);
    }
    let Ok(response) = http.send_unpooled(address, request).await else {
        return Response {
            status: 0,
            verdict: None,
            body: Value::Null,
        };
    };
    let status = response.status().as_u16();
    let verdict = response.headers().get("x-almondpath-verdict");
    let verdict = verdict.map(|v| v.to_str().expect("text").to_owned());
    let body = http.body(response).await.unwrap_or_default();
    Response {
        status,
        verdict,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }
}

impl Cluster {
    /// Starts a new process for a node whose process has ended.
    pub(crate) fn restart(&mut self, node: usize) {
        let settings = self.nodes[node].settings.to_str().expect("a UTF-8 path");
        self.nodes[node].process = Process::start(&["serve", settings]);
    }

    /// Waits until the endpoint has received a call.
    pub(crate) async fn await_execution(&self, call: &Contribution) {
        eventually("the call reaches the endpoint", async || {
            self.executions(&call.key).await == 1
        })
        .await;
    }

    /// Waits until every node has read all calls streams and executes calls.
    pub(crate) async fn await_calls_ready(&self) {
        self.await_streams("all streams are read", |stream| stream["ready"] == true)
            .await;
        for node in 0..self.nodes.len() {
            eventually("a call is executed", async || {
                new_contribution().send(self, node).await.is_success()
            })
            .await;
        }
        self.await_appends().await;
    }

    /// Waits until no node has a record to append, so that a fault of the log affects only new
    /// calls.
    async fn await_appends(&self) {
        self.await_streams("all records are appended", |stream| stream["queued"] == 0)
            .await;
        // An append that is in flight takes a few milliseconds.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    /// Waits until a condition is true for every calls stream at every node.
    pub(crate) async fn await_streams<F>(&self, what: &str, condition: F)
    where
        F: Fn(&Value) -> bool,
    {
        for node in &self.nodes {
            eventually(what, async || {
                let dump = self.dump(node).await.unwrap_or_default();
                let streams = dump["calls"].as_array();
                streams.is_some_and(|streams| streams.iter().all(&condition))
            })
            .await;
        }
    }
}
