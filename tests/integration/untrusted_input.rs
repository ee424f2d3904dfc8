//! Unauthenticated callers, malformed requests and slow senders.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uuid::Uuid;

use crate::harness::Cluster;

/// Sends bytes, reads until the node closes the connection or for one second, and returns what was
/// read.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the node accepts");
    // The node may respond and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    String::from_utf8_lossy(&response).into_owned()
}

fn post(route: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /v1/routes/{route} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    error: &'static str,
}

fn cases() -> Vec<Case> {
    let auth = "authorization: Bearer demo-token\r\n";
    let with = |extra: &str| format!("{auth}{extra}");
    let case = |name, request, status, error| Case {
        name,
        request,
        status,
        error,
    };
    let large = "x".repeat(1024 * 1024 + 1);
    let chunked = format!(
        "POST /v1/routes/balance HTTP/1.1\r\nhost: node\r\n{auth}connection: close\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );
    let question = r#"{"prompt": "x"}"#;
    vec![
        case("no token", post("balance", "", "{}"), 401, "unauthorized"),
        case(
            "wrong token",
            post("balance", "authorization: Bearer x\r\n", "{}"),
            401,
            "unauthorized",
        ),
        case(
            "other scheme",
            post("balance", "authorization: Basic demo-token\r\n", "{}"),
            401,
            "unauthorized",
        ),
        case(
            "operator's token",
            post(
                "balance",
                "authorization: Bearer dev-operator-token\r\n",
                "{}",
            ),
            401,
            "unauthorized",
        ),
        case(
            "unknown route",
            post("nothing", auth, "{}"),
            404,
            "not_found",
        ),
        case(
            "no key",
            post("contribution", auth, "{}"),
            400,
            "key_missing",
        ),
        case(
            "bad key",
            post("contribution", &with("idempotency-key: 7\r\n"), "{}"),
            400,
            "malformed",
        ),
        case(
            "key of version 4",
            post(
                "contribution",
                &with("idempotency-key: 9f0c5a4e-6f5e-4f0a-9c39-0e3f3b1c2d4e\r\n"),
                "{}",
            ),
            400,
            "malformed",
        ),
        case(
            "bad request id",
            post("question", &with("x-request-id: 7\r\n"), question),
            400,
            "malformed",
        ),
        case(
            "bad deadline",
            post("question", &with("x-deadline-ms: soon\r\n"), question),
            400,
            "malformed",
        ),
        case("not JSON", post("question", auth, "{"), 400, "malformed"),
        case(
            "unknown field",
            post("question", auth, r#"{"prompt": "x", "n": 1}"#),
            400,
            "malformed",
        ),
        case(
            "wrong type",
            post("question", auth, r#"{"prompt": 7}"#),
            400,
            "malformed",
        ),
        case(
            "large body",
            post("balance", auth, &large),
            413,
            "too_large",
        ),
        case("large chunked body", chunked, 413, "too_large"),
        case(
            "wrong method",
            "GET /v1/routes/balance HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n".to_owned(),
            405,
            "method_not_allowed",
        ),
        case(
            "wrong path",
            "GET /v2 HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n".to_owned(),
            404,
            "not_found",
        ),
    ]
}

/// Guards against error responses without a verdict, and against rejected requests that are
/// executed nevertheless.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_as_not_run() {
    let cluster = Cluster::start(1, 1, 1).await;
    let node = cluster.nodes[0].listen;
    let mut failures = Vec::new();
    for case in cases() {
        let response = exchange(node, case.request.as_bytes()).await;
        let status = response
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse::<u16>().ok());
        let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        let found = (status, body["error"].as_str(), body["verdict"].as_str());
        if found != (Some(case.status), Some(case.error), Some("not_run")) {
            failures.push(format!("{}: {found:?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    let executions: Value = cluster
        .http
        .get_json(cluster.plains[0].address, "/executions")
        .await
        .expect("the service responds");
    assert_eq!(executions, serde_json::json!({}));
}

/// Guards against a caller that can read a response of another client account by its request id.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_does_not_grant_access() {
    let cluster = Cluster::start(1, 1, 0).await;
    let tokens = "client_accounts: {demo: demo-token, other: other-token}\n";
    std::fs::write(cluster.token_file(), tokens).expect("the file can be written");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let node = cluster.nodes[0].listen;
    let id = Uuid::now_v7();
    let headers = format!("authorization: Bearer demo-token\r\nx-request-id: {id}\r\n");
    let own = exchange(
        node,
        post(
            "question",
            &headers,
            r#"{"prompt": "secret", "max_tokens": 5}"#,
        )
        .as_bytes(),
    )
    .await;
    assert!(own.contains("event:done"), "{own}");
    for (token, status) in [
        ("demo-token", "200"),
        ("other-token", "404"),
        ("none", "401"),
    ] {
        let request = format!(
            "GET /v1/requests/{id}?offset=0 HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\
             authorization: Bearer {token}\r\n\r\n"
        );
        let response = exchange(node, request.as_bytes()).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{token}: {response}"
        );
    }
}

/// Guards against senders that send slowly, send nothing or send garbage, and thereby delay other
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn slow_and_broken_senders_do_not_affect_others() {
    const SENDERS: usize = 200;
    let cluster = Cluster::start(1, 1, 1).await;
    let node = cluster.nodes[0].listen;
    let openings: [&[u8]; 4] = [
        b"",
        b"POST /v1/routes/balance HTTP/1.1\r\nhost: n\r\nx-slow: ",
        b"POST /v1/routes/balance HTTP/1.1\r\nhost: n\r\nauthorization: Bearer demo-token\r\ncontent-length: 1000\r\n\r\n{",
        b"\x16\x03\x01\x00\xff\x00\x00noise\x00\xff\xfe\r\n\r\n",
    ];
    let mut senders = Vec::new();
    for index in 0..SENDERS {
        let mut stream = TcpStream::connect(node).await.expect("the node accepts");
        stream
            .write_all(openings[index % openings.len()])
            .await
            .expect("the opening is sent");
        senders.push(stream);
    }
    let caller = cluster.client(&[0]);
    for _ in 0..20 {
        let started = std::time::Instant::now();
        caller
            .call("balance", None, "{}".into(), |_| ())
            .await
            .expect("other callers are served");
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    drop(senders);
}
