//! Responses that endpoints break off in the head, in the framing of the body, or in the body.

use futures::future::join_all;

use crate::platform::{Behaviour, Deployment, End, Engine, Request, Response};

struct Case {
    name: &'static str,
    text: &'static str,
}

const fn case(name: &'static str, text: &'static str) -> Case {
    Case { name, text }
}

const HEADS: &[Case] = &[
    case("nothing", ""),
    case("within the protocol", "HTTP/1"),
    case("within the status", "HTTP/1.1 20"),
    case("after the status", "HTTP/1.1 200"),
    case("within the reason", "HTTP/1.1 200 O"),
    case("within the end of the status line", "HTTP/1.1 200 OK\r"),
    case("after the status line", "HTTP/1.1 200 OK\r\n"),
    case("within a header's name", "{head}Content-Le"),
    case("after a header's name", "{head}Content-Length:"),
    case("within a length", "{head}Content-Length: 1"),
    case("after a length", "{head}Content-Length: 0\r\n"),
    case("within the empty line", "{head}Content-Length: 0\r\n\r"),
    case("after headers without a length", "{head}"),
    case("within the empty line, without a length", "{head}\r"),
    case("within a header's value", "{head}Transfer-Encoding: chu"),
    case("after the encoding", "{head}Transfer-Encoding: chunked\r\n"),
    case(
        "after an interim head",
        "HTTP/1.1 100 Continue\r\n\r\n{head}Content-Length: 0\r\n",
    ),
];

const BODIES: &[Case] = &[
    case("no byte of a length", "{head}Content-Length: 21\r\n\r\n"),
    case(
        "a part of a length",
        "{head}Content-Length: 42\r\n\r\nid: 0\ndata: piece 0\n\n",
    ),
    case("no chunk", "{head}Transfer-Encoding: chunked\r\n\r\n"),
    case(
        "within a chunk's size",
        "{head}Transfer-Encoding: chunked\r\n\r\n1",
    ),
    case(
        "after a chunk's size",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\n",
    ),
    case(
        "within a chunk",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: pie",
    ),
    case(
        "within the end of a chunk",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r",
    ),
    case(
        "before the last chunk",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n",
    ),
    case(
        "within the last chunk's size",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n0",
    ),
    case(
        "after the last chunk's size",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n0\r\n",
    ),
    case(
        "within a trailer",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n0\r\nA: b",
    ),
    case(
        "after a trailer",
        "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n0\r\nA: b\r\n",
    ),
];

/// A good response after which the connection is reused, or is not.
fn good(service: &str, reused: bool) -> Behaviour {
    if !reused {
        let text = "{head}Connection: close\r\nContent-Length: 21\r\n\r\nid: 0\ndata: piece 0\n\n";
        Behaviour::Raw(text, End::Close)
    } else if service == "llm" {
        Behaviour::Stream(2, 0)
    } else {
        Behaviour::Respond(200, 0)
    }
}

/// Sends a request to one endpoint that responds with each of these texts, after a good response.
async fn send_each(
    path: &'static str,
    service: &str,
    texts: &[(&'static str, End)],
    reused: bool,
) -> Vec<Option<Response>> {
    let good = good(service, reused);
    let engine = Engine::start("e0", service, good).await;
    let deployment = Deployment::start(1, vec![engine]).await;
    let (engine, gateway) = (&deployment.engines[0], &deployment.gateways[0]);
    let request = Request::new(path);
    let mut responses = Vec::new();
    for (text, end) in texts {
        engine.set_behaviour(good);
        let response = gateway.send(&request).await;
        let succeeded = response.is_some_and(|response| response.status == 200);
        assert!(succeeded, "{path} before {text:?}");
        engine.set_behaviour(Behaviour::Raw(text, *end));
        let before = engine.received().len();
        let response = gateway.send(&request).await;
        let received = engine.received();
        assert!(received.len() > before, "{path}, {text:?}: {response:?}");
        assert_eq!(received[before].reused, reused, "{path}, {text:?}");
        responses.push(response);
    }
    responses
}

const ROUTES: [(&str, &str); 4] = [
    ("/unsafe/x", "app"),
    ("/safe/x", "app"),
    ("/stream/x", "llm"),
    ("/resumed/x", "llm"),
];

/// Guards against a response that looks whole, although its endpoint broke it off in the head or in the
/// framing of the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_broken_off_never_looks_whole() {
    let runs = ROUTES.iter().flat_map(|(path, service)| {
        let ends = [End::Close, End::Reset];
        let connections = ends.map(|end| [(end, false), (end, true)]);
        let connections = connections.into_iter().flatten();
        connections.map(move |(end, reused)| (path, service, end, reused))
    });
    join_all(runs.map(async |(path, service, end, reused)| {
        let cases = HEADS.iter().chain(BODIES);
        let texts: Vec<_> = cases.clone().map(|case| (case.text, end)).collect();
        let responses = send_each(path, service, &texts, reused).await;
        for (case, response) in cases.zip(responses) {
            let whole = response.filter(|response| response.status < 300 && response.complete);
            assert!(
                whole.is_none(),
                "{path}, {}, {end:?}, reused {reused}: {whole:?}",
                case.name
            );
        }
    }))
    .await;
}

/// Guards against a body without a length or chunks that looks whole after a reset, and against a
/// failure for one that ends with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_with_its_connection_is_whole_unless_the_connection_is_reset() {
    let text = "{head}\r\nid: 0\ndata: piece 0\n\n";
    let texts = [(text, End::Close), (text, End::Reset)];
    join_all(ROUTES.iter().map(async |(path, service)| {
        let responses = send_each(path, service, &texts, true).await;
        let whole: Vec<_> = responses
            .iter()
            .map(|response| {
                let response = response.as_ref().expect("a response");
                response.status == 200 && response.complete
            })
            .collect();
        assert_eq!(whole, [true, false], "{path}");
    }))
    .await;
}
