//! Sends service calls with chosen headers to chosen nodes and keeps all that the caller sees.

use std::time::Duration;

use std::net::SocketAddr;

use almondpath::clock::{Clock, Millis};
use almondpath::ledger::Key;
use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::Value;

use crate::harness::{ACCOUNT_TOKEN, Cluster, Process, eventually};

/// What a caller sees of one call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    pub(crate) body: Value,
}

impl Response {
    /// Returns whether the service's response arrived.
    pub(crate) fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Returns whether the call was refused with this kind of error and verdict.
    pub(crate) fn is_error(&self, error: &str, verdict: &str) -> bool {
        self.body["error"] == error && self.verdict.as_deref() == Some(verdict)
    }
}

/// A call of the `contribution` route.
#[derive(Clone, Debug)]
pub(crate) struct Contribution {
    pub(crate) key: String,
    deadline: Option<u64>,
}

/// Returns a new key that was made now.
pub(crate) fn new_contribution() -> Contribution {
    aged_contribution(Millis::ZERO)
}

/// Returns a new key that was made this long ago.
pub(crate) fn aged_contribution(age: Millis) -> Contribution {
    Contribution {
        key: Key::new(Clock::system().wall() - age, rand::random()).to_string(),
        deadline: None,
    }
}

impl Contribution {
    pub(crate) fn deadline(mut self, millis: u64) -> Self {
        self.deadline = Some(millis);
        self
    }

    /// Sends the call to a node; a connection that breaks is an answer without status.
    pub(crate) async fn send(&self, cluster: &Cluster, node: usize) -> Response {
        let mut headers = vec![
            ("authorization", format!("Bearer {ACCOUNT_TOKEN}")),
            ("idempotency-key", self.key.clone()),
        ];
        headers.extend(self.deadline.map(|d| ("x-deadline-ms", d.to_string())));
        let address = cluster.nodes[node].listen;
        post(cluster, address, "contribution", &headers, "{}").await
    }
}

/// Sends a call to a route with these headers.
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
    /// Starts a node again whose process has ended.
    pub(crate) fn restart(&mut self, node: usize) {
        let settings = self.nodes[node].settings.to_str().expect("a UTF-8 path");
        self.nodes[node].process = Process::start(&["serve", settings]);
    }

    /// Waits until a key has reached the endpoint.
    pub(crate) async fn await_execution(&self, call: &Contribution) {
        eventually("the call reaches the endpoint", async || {
            self.executions(&call.key).await == 1
        })
        .await;
    }

    /// Waits until every node's calls streams can be used.
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

    /// Waits until no node has a record to append, so that a fault of the log meets new calls only.
    async fn await_appends(&self) {
        self.await_streams("all records are appended", |stream| stream["queued"] == 0)
            .await;
        // An append that is under way takes a few milliseconds.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    /// Waits until a condition holds for every calls stream at every node.
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
