//! Memory of a gateway process whose endpoints write more than a response.

use std::time::Duration;

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request, config};

/// The memory that the settings of the process allow it, in MB; the least of the platform's hosts.
const MEMORY_MB: u32 = 160;

/// Requests at once; the endpoints accept 320 of one node.
const REQUESTS: usize = 300;

/// Guards against a process that runs out of memory, and fails the requests of all its callers, since
/// all endpoints of a service write bytes without end that are no response.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_of_all_endpoints_stay_within_memory() {
    struct Case {
        name: &'static str,
        path: &'static str,
        start: &'static str,
        filler: &'static str,
    }
    let case = |name, path, start, filler| Case {
        name,
        path,
        start,
        filler,
    };
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let cases = [
        case("a header", "/safe/x", "HTTP/1.1 200 X\r\nA: ", "x"),
        case("headers", "/safe/x", "HTTP/1.1 200 X\r\n", "A: b\r\n"),
        case("interim heads", "/safe/x", interim, interim),
        case("a body", "/safe/x", "{head}", "x"),
        case("an event", "/resumed/x", "{head}", "x"),
        case(
            "a second event",
            "/resumed/x",
            "{head}id: 0\ndata: a\n\n",
            "x",
        ),
    ];
    for case in cases {
        let service = if case.path == "/safe/x" { "app" } else { "llm" };
        let mut engines = Vec::new();
        for number in 0..4 {
            let endless = Behaviour::Endless(case.start, case.filler);
            engines.push(Engine::start(&format!("e{number}"), service, endless).await);
        }
        let deployment = Deployment::start_with_memory(MEMORY_MB, engines, &config(1)).await;
        let gateway = &deployment.gateways[0];
        let mut request = Request::new(case.path);
        request.deadline_ms = 1_500;
        let sending = (0..REQUESTS).map(|_| gateway.send(&request));
        for response in futures::future::join_all(sending).await {
            let response = response.expect("a response head");
            let success = response.status == 200 && response.complete;
            assert!(!success, "{}: {}", case.name, response.status);
        }
        let memory = gateway.peak_memory_kib();
        assert!(
            memory < u64::from(MEMORY_MB) * 1_000,
            "{}: {memory} KiB",
            case.name
        );
    }
}

/// Guards against responses that are kept in memory without a limit for callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn responses_for_callers_that_do_not_read_stay_within_memory() {
    let body: &'static str = "x".repeat(6_000_000).leak();
    let large = Behaviour::Whole(crate::platform::Framing::Length, body);
    let mut engines = Vec::new();
    for number in 0..4 {
        engines.push(Engine::start(&format!("e{number}"), "app", large).await);
    }
    let deployment = Deployment::start_with_memory(MEMORY_MB, engines, &config(1)).await;
    let gateway = &deployment.gateways[0];
    let mut streams = Vec::new();
    for number in 0..60 {
        let head = format!(
            "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-one\r\n\
             X-Almondpath-Attempt-Id: slow{number}\r\n\r\n"
        );
        let mut stream = tokio::net::TcpStream::connect(gateway.front)
            .await
            .expect("a connection");
        tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
            .await
            .expect("an open connection");
        streams.push(stream);
    }
    eventually("all requests are decided", async || {
        gateway.log_lines("request", None).len() >= streams.len()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let memory = gateway.peak_memory_kib();
    assert!(memory < u64::from(MEMORY_MB) * 1_000, "{memory} KiB");
}
