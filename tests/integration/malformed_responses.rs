//! Responses of plain services with a status or framing that HTTP does not allow, and responses that
//! end before the call was read.

use std::time::Duration;

use crate::call_harness::{Response, new_contribution, post};
use crate::gateway_malformed::{LARGE_BODY_BYTES, MALFORMED};
use crate::harness::{ACCOUNT_TOKEN, Cluster, eventually};
use crate::platform::{End, Script, ScriptedEndpoint};

const GOOD: &str = "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";

/// A cluster of one node whose only plain endpoint answers as scripted.
struct Scripted {
    endpoint: ScriptedEndpoint,
    cluster: Cluster,
}

impl Scripted {
    async fn start() -> Self {
        let settings = format!("body_limit_bytes: {LARGE_BODY_BYTES}\n");
        let cluster = Cluster::start_with(1, 0, 1, &settings).await;
        cluster.await_calls_ready().await;
        let endpoint = ScriptedEndpoint::start(Script::new(GOOD, End::Close)).await;
        let mut hosts = cluster.hosts();
        hosts[0].address = endpoint.address;
        cluster.put_hosts(&hosts).await;
        // The node reads the host list twice a second.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        Self { endpoint, cluster }
    }

    /// Sends a call to a route that is answered as scripted, after calls with good answers, which let
    /// the endpoint count as sound.
    async fn send(&self, route: &str, body: &str, script: Script) -> Response {
        self.endpoint.set_script(Script::new(GOOD, End::Close));
        eventually("a good answer arrives", async || {
            self.post(route, "{}").await.is_success()
        })
        .await;
        self.endpoint.set_script(script);
        self.post(route, body).await
    }

    async fn post(&self, route: &str, body: &str) -> Response {
        let headers = [
            ("authorization", format!("Bearer {ACCOUNT_TOKEN}")),
            ("idempotency-key", new_contribution().key),
        ];
        let address = self.cluster.nodes[0].listen;
        post(&self.cluster, address, route, &headers, body).await
    }
}

/// Guards against a malformed response of a plain service that a caller takes for a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_response_to_a_call_never_looks_whole() {
    let scripted = Scripted::start().await;
    let mut failures = Vec::new();
    for route in ["balance", "contribution"] {
        for case in MALFORMED {
            let text = format!("{}{}", case.head, case.body);
            let response = scripted
                .send(route, "{}", Script::new(text, End::Close))
                .await;
            if !response.is_error("endpoint_failed", "may_have_run") {
                failures.push(format!("{route}, {}: {response:?}", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a part of a response that looks whole, because its endpoint gave up the connection
/// while the call was still being written.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_within_a_long_call_never_looks_whole() {
    let scripted = Scripted::start().await;
    let mut failures = Vec::new();
    let body = "x".repeat(LARGE_BODY_BYTES - 1);
    for route in ["balance", "contribution"] {
        for end in [End::Reset, End::Close, End::Finish] {
            let script = Script::new("HTTP/1.1 200 X\r\n\r\n{}", end).early();
            let response = scripted.send(route, &body, script).await;
            if !response.is_error("endpoint_failed", "may_have_run") {
                failures.push(format!("{route}, {end:?}: {response:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
