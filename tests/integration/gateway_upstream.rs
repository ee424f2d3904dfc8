//! Connections of a gateway node to endpoints.

use std::sync::atomic::{AtomicBool, Ordering};

use almondpath::clock::{Clock, Millis};
use almondpath::gateway::{Key, Upstream};
use almondpath::verdict::Verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Accepts one connection, responds to what it receives first, and returns its size in bytes.
async fn received_bytes(listener: TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = [0; 1_024];
    let received = stream.read(&mut buffer).await.unwrap_or(0);
    // Fails only if the connection was closed, which the test expects.
    let _ = stream.write_all(RESPONSE).await;
    received
}

/// Guards against sending a request to an endpoint that began to leave while a connection to it was
/// being opened.
#[tokio::test]
async fn an_endpoint_that_leaves_while_connecting_gets_no_request() {
    struct Case {
        name: &'static str,
        leaves: bool,
        verdict: Option<Verdict>,
    }
    let cases = [
        Case {
            name: "the endpoint stays",
            leaves: false,
            verdict: None,
        },
        Case {
            name: "the endpoint begins to leave",
            leaves: true,
            verdict: Some(Verdict::NotRun),
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let receiving = tokio::spawn(received_bytes(listener));
        let upstream = Upstream::new(Clock::system());
        let accepts = AtomicBool::new(true);
        let request = Request::new(Full::new(Bytes::new()));
        let sending = upstream.send(Key::default(), address, Millis::ZERO, request, || {
            accepts.load(Ordering::Relaxed)
        });
        let leaving = async { accepts.store(!case.leaves, Ordering::Relaxed) };
        // The connection is being opened when the endpoint begins to leave.
        let (sent, ()) = tokio::join!(biased; sending, leaving);
        let verdict = sent.as_ref().err().map(|error| error.verdict());
        assert_eq!(verdict, case.verdict, "{}", case.name);
        drop(sent);
        drop(upstream);
        let received = receiving.await.expect("no panic");
        assert_eq!(received > 0, !case.leaves, "{}", case.name);
    }
}
