//! Streams responses in the background while a test injects failures.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use almondpath::client::{Client, Progress, Reply};
use almondpath::clock::Millis;
use almondpath::error::Error;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::harness::{Cluster, Node, OPERATOR_TOKEN, eventually};
use crate::whole_response::assert_one_sampling;

/// Bytes of a prompt that the engine test double counts as 100 tokens.
const PROMPT_BYTES: usize = 400;

/// Deadline of a whole response, so that a lost response fails the test instead of blocking it.
const DEADLINE: Millis = Millis(15_000);

/// A response that is being received.
pub(crate) struct Streaming {
    pieces: Arc<AtomicUsize>,
    restarts: Arc<AtomicUsize>,
    tokens: Arc<Mutex<String>>,
    task: JoinHandle<Result<Reply, Error>>,
    wanted: usize,
}

impl Streaming {
    /// Calls the route `summary` with a prompt of 100 tokens that is unique to `name`.
    pub(crate) fn start(client: Client, name: &str, wanted: usize) -> Self {
        let client = client.with_deadline(DEADLINE);
        let pieces = Arc::new(AtomicUsize::new(0));
        let restarts = Arc::new(AtomicUsize::new(0));
        let tokens = Arc::new(Mutex::new(String::new()));
        let prompt = format!("{name:-<PROMPT_BYTES$}");
        let body = json!({ "prompt": prompt, "max_tokens": wanted }).to_string();
        let (count, again, text) = (
            Arc::clone(&pieces),
            Arc::clone(&restarts),
            Arc::clone(&tokens),
        );
        let task = tokio::spawn(async move {
            let progress = |part: Progress<'_>| match part {
                Progress::Text(piece) => {
                    count.fetch_add(1, Ordering::SeqCst);
                    text.lock().expect("text lock").push_str(piece);
                }
                Progress::Restart(kept) => {
                    again.fetch_add(1, Ordering::SeqCst);
                    *text.lock().expect("text lock") = kept.to_owned();
                }
            };
            client.call("summary", None, body.into(), progress).await
        });
        Self {
            pieces,
            restarts,
            tokens,
            task,
            wanted,
        }
    }

    /// Waits until `min_pieces` pieces have arrived or the call has ended.
    pub(crate) async fn wait_for_pieces(&self, min_pieces: usize) {
        eventually("pieces arrive", async || {
            self.pieces.load(Ordering::SeqCst) >= min_pieces || self.task.is_finished()
        })
        .await;
    }

    /// Returns how often the response restarted at an earlier offset.
    pub(crate) fn restarts(&self) -> usize {
        self.restarts.load(Ordering::SeqCst)
    }

    /// Waits for the end, and asserts that the response is complete and from one sampling run.
    pub(crate) async fn assert_complete(self, case: &str) {
        let reply = self.task.await.expect("the caller does not panic");
        let reply = reply.unwrap_or_else(|error| panic!("{case}: the call failed: {error}"));
        let Reply::Text(text) = reply else {
            panic!("{case}: a model route streams text");
        };
        let tokens: Vec<&str> = text.split_inclusive(' ').collect();
        assert_eq!(tokens.len(), self.wanted, "{case}: tokens of the response");
        assert_one_sampling(&tokens);
        assert_eq!(*self.tokens.lock().expect("text lock"), text, "{case}");
    }
}

/// Inspecting and controlling a cluster.
impl Cluster {
    /// Returns the sum of a metric over the nodes; a node that does not respond counts as zero.
    pub(crate) async fn metric(&self, nodes: &[usize], name: &str) -> f64 {
        let mut sum = 0.0;
        for &node in nodes {
            let text = self.admin_text(&self.nodes[node], "/metrics").await;
            let lines = text.lines().filter(|line| line.starts_with(name));
            sum += lines
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum::<f64>();
        }
        sum
    }

    /// Waits until a node, other than those in `except`, has a running response in this role, and
    /// returns its index.
    pub(crate) async fn wait_for_holder(&self, role: &str, except: &[usize]) -> usize {
        let mut found = None;
        eventually(&format!("there is a running {role}"), async || {
            for (index, node) in self.nodes.iter().enumerate() {
                if except.contains(&index) {
                    continue;
                }
                let text = self.admin_text(node, "/admin/dump").await;
                let dump: Value = serde_json::from_str(&text).unwrap_or_default();
                let responses = dump["responses"].as_array().cloned().unwrap_or_default();
                if responses
                    .iter()
                    .any(|entry| entry["role"] == role && entry["phase"] == "running")
                {
                    found = Some(index);
                }
            }
            found.is_some()
        })
        .await;
        found.expect("set when the condition holds")
    }

    /// Sends a node a reclaim notice.
    pub(crate) async fn send_reclaim_notice(&self, node: usize, deadline_ms: u64) {
        let body = json!({ "deadline_ms": deadline_ms }).to_string();
        let node = &self.nodes[node];
        let request = self.operator_request(Method::POST, node.admin, "/admin/notice", body);
        let response = self.http.send(request).await.expect("the node responds");
        assert!(response.status().is_success());
    }

    /// Returns the index of an engine that is generating a response.
    pub(crate) async fn busy_engine(&self) -> usize {
        for (index, engine) in self.engines.iter().enumerate() {
            let load: Result<Value, _> = self.http.get_json(engine.address, "/load").await;
            if load.is_ok_and(|load| load["running"].as_u64() > Some(0)) {
                return index;
            }
        }
        panic!("no engine is busy");
    }

    async fn admin_text(&self, node: &Node, path: &str) -> String {
        let request = self.operator_request(Method::GET, node.admin, path, String::new());
        let Ok(response) = self.http.send(request).await else {
            return String::new();
        };
        let body = self.http.body(response).await.unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    fn operator_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
        let request = self.http.request(method, address, path, body.into());
        let mut request = request.expect("a valid request");
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let value = token.parse().expect("a valid header");
        request.headers_mut().insert("authorization", value);
        request
    }
}
