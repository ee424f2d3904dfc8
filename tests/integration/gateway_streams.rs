//! Event streams of endpoints whose responses are no events, or no rest of the stream.

use futures::future::join_all;

use crate::platform::{Behaviour, Deployment, End, Engine, Framing, Request, Response, config};

/// Breaks off after three events and a part of the next one.
const WITHIN_EVENT: Behaviour = Behaviour::Truncate(3);

/// Breaks off after one event.
const AFTER_EVENT: Behaviour = Behaviour::Raw(
    "{head}Transfer-Encoding: chunked\r\n\r\n15\r\nid: 0\ndata: piece 0\n\n\r\n",
    End::Reset,
);

/// The rest of a stream of eight events.
const REST: Behaviour = Behaviour::Stream(8, 1);

/// Sends a request to endpoints that behave like this one after the other, on a route with three
/// attempts.
async fn send(request: &Request, behaviours: &[Behaviour]) -> Response {
    let mut config = config(1);
    config["routes"][0]["max_attempts"] = 3.into();
    let engines = Engine::group("llm", 3, behaviours).await;
    let deployment = Deployment::start_with(1, engines, &config).await;
    let response = deployment.gateways[0].send(request).await;
    response.expect("a response")
}

/// Sends a request to endpoints that behave like this, and again with a good endpoint as the last one.
/// Returns how the responses differ from these events, broken off, and from the whole stream.
async fn differences(name: &str, behaviours: &[Behaviour], count: u64) -> Vec<String> {
    let request = Request::new("/resumed/x");
    let broken = send(&request, behaviours).await;
    let resumed = send(&request, &[behaviours, &[REST]].concat()).await;
    let name_resumed = format!("{name}, then a good endpoint");
    let differences = [
        difference(name, &broken, count, false),
        difference(&name_resumed, &resumed, 8, true),
    ];
    differences.into_iter().flatten().collect()
}

/// Returns how a response differs from a stream of these events; comments may come in addition.
fn difference(name: &str, response: &Response, count: u64, complete: bool) -> Option<String> {
    let body = response.body.replace(":\n\n", "");
    let same = body == events(0..count) && response.complete == complete;
    (!same).then(|| format!("{name}: complete {}, {body:?}", response.complete))
}

fn assert_none(differences: Vec<Vec<String>>) {
    let differences = differences.concat();
    assert!(differences.is_empty(), "{differences:#?}");
}

fn events(range: std::ops::Range<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Guards against bytes of an endpoint's error in the middle of a stream that resumes there.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_only_with_events() {
    struct Case {
        name: &'static str,
        rest: Behaviour,
    }
    let case = |name, rest| Case { name, rest };
    let whole = |name, body| case(name, Behaviour::Whole(Framing::Chunks, body));
    let cases = [
        case("status 500", Behaviour::Respond(500, 0)),
        case("status 503", Behaviour::Respond(503, 0)),
        case("status 404", Behaviour::Respond(404, 0)),
        case("no signature", Behaviour::Unsigned),
        case("another id", Behaviour::WrongRequestId),
        whole("text", "Internal Server Error"),
        whole(
            "text with an empty line",
            "Internal Server Error\n\nbusy\n\n",
        ),
        whole("JSON", "{\"error\": \"busy\"}\n\n"),
        whole("HTML", "<html>\r\n\r\n<h1>500</h1>\r\n\r\n</html>\r\n\r\n"),
        whole(
            "an HTTP head",
            "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nbusy\n\n",
        ),
        whole("a field", "error: busy\n\n"),
        whole("events without ids", "data: piece 3\n\ndata: piece 4\n\n"),
        whole("a repeated event", "{last}{next}"),
        whole("a skipped event", "{skip}"),
        whole("text before the first event", "busy\n\n{next}"),
        whole("text in the first event", "Service Busy\n{next}"),
        whole(
            "an HTTP head before the first event",
            "HTTP/1.1 500 X\r\nA: b\r\n\r\n{next}",
        ),
        whole(
            "an HTTP head in the first event",
            "HTTP/1.1 500 X\r\nA: b\r\n{next}",
        ),
        case(
            "text after an event",
            Behaviour::Whole(Framing::Chunks, "{next}busy\n\n"),
        ),
        case(
            "text within a length",
            Behaviour::Whole(Framing::Length, "busy\n\n"),
        ),
        case(
            "text until the connection ends",
            Behaviour::Raw("{head}\r\nbusy\n\n", End::Close),
        ),
    ];
    let checks = cases.iter().map(async |case| {
        let behaviours = [WITHIN_EVENT, case.rest];
        differences(case.name, &behaviours, 3).await
    });
    assert_none(join_all(checks).await);
}

/// Guards against a success with the text of an error for the caller of a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_begins_only_with_events() {
    assert_fails_before_first_event(&[
        ("text", Framing::Length, "Internal Server Error\n\nbusy\n\n"),
        ("JSON", Framing::Chunks, "{\"error\": \"busy\"}\n\n"),
        (
            "an HTTP head",
            Framing::Chunks,
            "HTTP/1.1 500 X\r\nA: b\r\n\r\nbusy\n\n",
        ),
        ("text before an event", Framing::Chunks, "busy\n\n{next}"),
    ])
    .await;
}

/// Asserts that these bodies of the first endpoint are a failure, or are replaced by the stream of
/// another endpoint if the route allows it.
async fn assert_fails_before_first_event(cases: &[(&str, Framing, &'static str)]) {
    let checks = cases.iter().map(async |(name, framing, body)| {
        let bad = Behaviour::Whole(*framing, body);
        let failed = send(&Request::new("/stream/x"), &[bad]).await;
        let failed = (failed.status != 502).then(|| format!("{name}: {failed:?}"));
        let retried = send(&Request::new("/resumed/x"), &[bad, REST]).await;
        let retried = difference(name, &retried, 8, true);
        [failed, retried].into_iter().flatten().collect()
    });
    assert_none(join_all(checks).await);
}

/// Guards against a broken stream that looks complete, because another endpoint responded with an empty
/// body that is framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_without_an_event_is_not_complete() {
    struct Case {
        name: &'static str,
        broken: Behaviour,
        rest: Behaviour,
        events: u64,
    }
    let case = |name, broken, rest, events| Case {
        name,
        broken,
        rest,
        events,
    };
    let length = |body| Behaviour::Whole(Framing::Length, body);
    let chunks = |body| Behaviour::Whole(Framing::Chunks, body);
    let no_content = Behaviour::Raw(
        "HTTP/1.1 204 X\r\nX-Almondpath-Attempt-Id: {id}\r\n\
         X-Almondpath-Engine-Signature: e.1\r\n\r\n",
        End::Close,
    );
    let until_close = Behaviour::Raw("{head}\r\n", End::Close);
    let cases = [
        case("no length", WITHIN_EVENT, until_close, 3),
        case("status 204", WITHIN_EVENT, no_content, 3),
        case("length 0", WITHIN_EVENT, length(""), 3),
        case("only comments", WITHIN_EVENT, length(":\n\n:\n\n"), 3),
        case("no chunk", WITHIN_EVENT, chunks(""), 3),
        case("comments in a chunk", WITHIN_EVENT, chunks(":\n\n"), 3),
        // The endpoint may have broken off after its last event, but nothing shows that it has.
        case("length 0 after an event", AFTER_EVENT, length(""), 1),
        case("no chunk after an event", AFTER_EVENT, chunks(""), 1),
    ];
    let checks = cases.iter().map(async |case| {
        let behaviours = [case.broken, case.rest];
        differences(case.name, &behaviours, case.events).await
    });
    assert_none(join_all(checks).await);
}

/// Guards against an empty success for the caller of a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_an_event_is_a_failure() {
    assert_fails_before_first_event(&[
        ("length 0", Framing::Length, ""),
        ("no chunk", Framing::Chunks, ""),
        ("only comments", Framing::Length, ":\n\n"),
    ])
    .await;
}

/// Guards against a failure for a caller that resumes and already has all events.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_has_all_events_gets_an_empty_rest() {
    for framing in [Framing::Length, Framing::Chunks] {
        let mut request = Request::new("/resumed/x");
        request.headers.push(("last-event-id", "7".to_owned()));
        let response = send(&request, &[Behaviour::Whole(framing, "")]).await;
        assert_eq!((response.status, &*response.body), (200, ""), "{framing:?}");
        assert!(response.complete, "{framing:?}");
    }
}
