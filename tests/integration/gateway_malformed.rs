//! Responses with a status or framing that HTTP does not allow, and responses that end before the
//! request was read.

use std::time::Duration;

use futures::future::join_all;

use crate::harness::eventually;
use crate::platform::{
    Behaviour, Deployment, End, Engine, Request, Response, Script, ScriptedEndpoint, config,
};

/// A body that is whole for each kind of route.
pub(crate) const BODY: &str = "id: 0\ndata: piece 0\n\n";

/// Size of a body that does not fit into the buffers of a connection.
pub(crate) const LARGE_BODY_BYTES: usize = 8 * 1024 * 1024;

pub(crate) const ROUTES: [(&str, &str); 4] = [
    ("/unsafe/x", "app"),
    ("/safe/x", "app"),
    ("/stream/x", "llm"),
    ("/resumed/x", "llm"),
];

pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// The response up to its body.
    pub(crate) head: &'static str,
    pub(crate) body: &'static str,
}

const fn case(name: &'static str, head: &'static str, body: &'static str) -> Case {
    Case { name, head, body }
}

const CHUNKED_BODY: &str = "15\r\nid: 0\ndata: piece 0\n\n\r\n0\r\n\r\n";

/// Responses that no caller may get as a whole one.
pub(crate) const MALFORMED: &[Case] = &[
    case(
        "status 000",
        "HTTP/1.1 000 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 099",
        "HTTP/1.1 099 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 101",
        "HTTP/1.1 101 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 102 only",
        "HTTP/1.1 102 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 600",
        "HTTP/1.1 600 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 999",
        "HTTP/1.1 999 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 1000",
        "HTTP/1.1 1000 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status 20",
        "HTTP/1.1 20 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "status -20",
        "HTTP/1.1 -20 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "version 1.2",
        "HTTP/1.2 200 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "version 2.0",
        "HTTP/2.0 200 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "two status lines",
        "HTTP/1.1 200 X\r\nHTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "two lengths",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\nContent-Length: 42\r\n\r\n",
        BODY,
    ),
    case(
        "two lengths, the shorter one first",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 6\r\nContent-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "two lengths in one line",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 21, 6\r\n\r\n",
        BODY,
    ),
    case(
        "length with a sign",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: +21\r\n\r\n",
        BODY,
    ),
    case(
        "negative length",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: -1\r\n\r\n",
        BODY,
    ),
    case(
        "length over 64 bits",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 99999999999999999999\r\n\r\n",
        BODY,
    ),
    case(
        "length and chunked, without chunks",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\nTransfer-Encoding: chunked\r\n\r\n",
        BODY,
    ),
    case(
        "cut before its length",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 42\r\n\r\n",
        BODY,
    ),
    case(
        "cut before the last chunk",
        "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: chunked\r\n\r\n",
        "15\r\nid: 0\ndata: piece 0\n\n\r\n",
    ),
    case(
        "chunked in HTTP/1.0",
        "HTTP/1.0 200 X\r\n{headers}Transfer-Encoding: chunked\r\n\r\n",
        CHUNKED_BODY,
    ),
    case(
        "compressed in transfer",
        "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: gzip\r\n\r\n",
        BODY,
    ),
    case(
        "compressed and chunked",
        "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: gzip, chunked\r\n\r\n",
        CHUNKED_BODY,
    ),
    case(
        "chunked, then compressed",
        "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: chunked, gzip\r\n\r\n",
        BODY,
    ),
    case(
        "chunked twice",
        "HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNKED_BODY,
    ),
    case(
        "204 with a length",
        "HTTP/1.1 204 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "204 with chunks",
        "HTTP/1.1 204 X\r\n{headers}Transfer-Encoding: chunked\r\n\r\n",
        CHUNKED_BODY,
    ),
];

/// Responses that a caller may get, and their body as HTTP defines it.
const UNUSUAL: &[Case] = &[
    case(
        "length and chunked",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHUNKED_BODY,
    ),
    case(
        "the same length twice",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\nContent-Length: 21\r\n\r\n",
        BODY,
    ),
    case(
        "more than its length",
        "HTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\n\r\n",
        "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n",
    ),
    case(
        "an interim response",
        "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n{headers}Content-Length: 21\r\n\r\n",
        BODY,
    ),
    case("HTTP/1.0", "HTTP/1.0 200 X\r\n{headers}\r\n", BODY),
];

/// A gateway whose only endpoint answers as scripted.
pub(crate) struct Scripted {
    pub(crate) endpoint: ScriptedEndpoint,
    deployment: Deployment,
    pub(crate) request: Request,
}

impl Scripted {
    pub(crate) async fn start(path: &'static str, service: &str) -> Self {
        let endpoint = ScriptedEndpoint::start(good()).await;
        let mut engine = Engine::start("e0", service, Behaviour::Hang).await;
        engine.address = endpoint.address;
        let mut config = config(1);
        config["limits"]["max_body_bytes"] = LARGE_BODY_BYTES.into();
        Self {
            endpoint,
            deployment: Deployment::start_with(1, vec![engine], &config).await,
            request: Request::new(path),
        }
    }

    /// Sends a request that is answered as scripted, after one with a good answer, which lets the
    /// endpoint count as sound.
    pub(crate) async fn send(&self, script: Script) -> Option<Response> {
        self.endpoint.set_script(good());
        let gateway = &self.deployment.gateways[0];
        let small = Request {
            body: "the body",
            ..self.request.clone()
        };
        // The connection of the answer before may still be open.
        eventually("a good answer arrives", async || {
            gateway
                .send(&small)
                .await
                .is_some_and(|response| is_whole(&response))
        })
        .await;
        self.endpoint.set_script(script);
        gateway.send(&self.request).await
    }
}

fn good() -> Script {
    let head = "HTTP/1.1 200 X\r\n{headers}Connection: close\r\nContent-Length: 21\r\n\r\n";
    Script::new(format!("{head}{BODY}"), End::Close)
}

pub(crate) fn is_whole(response: &Response) -> bool {
    response.status < 300 && response.complete
}

/// Guards against a response with an invalid status or framing that a caller takes for a whole one,
/// and against statuses that no caller understands.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_response_never_looks_whole() {
    let failures = join_all(ROUTES.map(async |(path, service)| {
        let mut failures = Vec::new();
        let scripted = Scripted::start(path, service).await;
        for case in MALFORMED {
            let text = format!("{}{}", case.head, case.body);
            let response = scripted.send(Script::new(text, End::Close)).await;
            let name = case.name;
            // No other status but 502 is true of a request that may have run.
            let is_valid = response
                .as_ref()
                .is_some_and(|r| r.status == 502 || (r.status == 200 && !r.complete));
            if !is_valid {
                failures.push(format!("{path}, {name}: {response:?}"));
            }
        }
        failures
    }))
    .await
    .concat();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a refusal of responses that are unusual, but whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_unusual_response_is_passed_on_whole() {
    join_all(ROUTES.map(async |(path, service)| {
        let scripted = Scripted::start(path, service).await;
        for case in UNUSUAL {
            let text = format!("{}{}", case.head, case.body);
            let response = scripted.send(Script::new(text, End::Close)).await;
            let name = case.name;
            let response = response.unwrap_or_else(|| panic!("{path}, {name}: no response"));
            assert!(
                is_whole(&response) && response.body == BODY,
                "{path}, {name}: {response:?}"
            );
        }
    }))
    .await;
}

/// Guards against a part of a response that looks whole, because its endpoint gave up the connection
/// while the request was still being written.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_within_a_long_upload_never_looks_whole() {
    /// The order of a reset and a failing write is a matter of chance.
    const RUNS: usize = 3;
    let upload: &'static str = "x".repeat(LARGE_BODY_BYTES - 1).leak();
    let text = format!("HTTP/1.1 200 X\r\n{{headers}}\r\n{BODY}");
    let failures = join_all(ROUTES.map(async |(path, service)| {
        let mut failures = Vec::new();
        let mut scripted = Scripted::start(path, service).await;
        scripted.request.body = upload;
        // A stream that may resume waits for another endpoint until then.
        scripted.request.deadline_ms = 500;
        for end in [End::Reset, End::Close, End::Finish] {
            for pause in [0, 2, 20] {
                for run in 0..RUNS {
                    let pause_time = Duration::from_millis(pause);
                    let script = Script::new(&*text, end).early().pause(1.0, pause_time);
                    let response = scripted.send(script).await;
                    if response.as_ref().is_some_and(is_whole) {
                        failures.push(format!("{path}, {end:?} after {pause} ms, run {run}"));
                    }
                }
            }
        }
        failures
    }))
    .await
    .concat();
    assert!(failures.is_empty(), "{failures:#?}");
}
