//! Streams that move from one endpoint to another: from a silent one, and from one that broke off.

use std::time::Duration;

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, End, Engine, Request, Response, config};

/// Sends three events, and the rest of eight after a pause that is longer than the stall timeout of
/// the route and shorter than its timeout.
const PAUSING: Behaviour = Behaviour::StreamWithPause(3, 2_000, 8);

/// Sends three events, and nothing more while the test lasts.
const SILENT: Behaviour = Behaviour::StreamWithPause(3, 9_000, 8);

/// Closes the connection, as the host of an endpoint that is gone does, without a response.
const GONE: Behaviour = Behaviour::Raw("", End::Close);

/// As [`GONE`], later than a silent endpoint is kept for the next one.
const GONE_LATE: Behaviour = Behaviour::HangThenClose(900);

const REST: Behaviour = Behaviour::Stream(8, 1);

/// A request on the route whose streams resume, with a deadline shortly before the route's timeout.
fn request() -> Request {
    Request {
        deadline_ms: 3_900,
        ..Request::new("/resumed/x")
    }
}

fn events(range: std::ops::Range<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Returns how a response differs from the whole stream.
fn difference(name: &str, response: &Response) -> Option<String> {
    let whole = response.complete && response.body == events(0..8);
    (!whole).then(|| format!("{name}: {response:?}"))
}

/// Returns the number of requests that all engines got.
fn received(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.received().len()).sum()
}

/// Guards against a stream that is cut within a pause of its endpoint, because the endpoint that it
/// moved to declined it or was gone.
#[tokio::test]
async fn a_silent_endpoint_is_kept_until_another_one_accepts_the_stream() {
    struct Case {
        name: &'static str,
        first: Behaviour,
        second: Behaviour,
    }
    let case = |name, first, second| Case {
        name,
        first,
        second,
    };
    let at_start = Behaviour::StreamWithPause(0, 2_900, 8);
    let cases = [
        case("declined", PAUSING, Behaviour::Decline),
        case("misdirected", PAUSING, Behaviour::Misdirected),
        case("an error", PAUSING, Behaviour::Respond(500, 0)),
        case("gone", PAUSING, GONE),
        case("declined at the start", at_start, Behaviour::Decline),
        case("gone at the start", at_start, GONE),
    ];
    let play = async |case: Case| {
        let engines = Engine::group("llm", 2, &[case.first, case.second]).await;
        let deployment = Deployment::start(1, engines).await;
        let response = deployment.gateways[0].send(&request()).await;
        let difference = difference(case.name, &response.expect("a response"));
        let count = received(&deployment);
        let received = (count != 2).then(|| format!("{}: {count} requests", case.name));
        [difference, received]
    };
    let differences = futures::future::join_all(cases.map(play)).await;
    let differences: Vec<String> = differences.into_iter().flatten().flatten().collect();
    assert!(differences.is_empty(), "{differences:#?}");
}

/// Guards against two endpoints that work on one stream: one that goes on keeps it, and one that
/// stays silent loses it soon.
#[tokio::test]
async fn a_stream_that_moves_is_left_to_one_endpoint() {
    struct Case {
        first: Behaviour,
        second: Behaviour,
        /// Index of the endpoint that streams to the end.
        kept: usize,
    }
    let cases = [
        Case {
            // Goes on 100 ms after the request was sent to the second endpoint.
            first: Behaviour::StreamWithPause(3, 1_300, 8),
            second: Behaviour::Hang,
            kept: 0,
        },
        Case {
            first: SILENT,
            second: REST,
            kept: 1,
        },
    ];
    for Case {
        first,
        second,
        kept,
    } in cases
    {
        let engines = Engine::group("llm", 2, &[first, second]).await;
        let deployment = Deployment::start(1, engines).await;
        let response = deployment.gateways[0].send(&request()).await;
        let response = response.expect("a response");
        assert_eq!(difference("moved", &response), None);
        let mut requests: Vec<_> = deployment
            .engines
            .iter()
            .flat_map(Engine::received)
            .collect();
        requests.sort_by_key(|request| request.header("last-event-id").is_some());
        let disconnected: Vec<bool> = requests.iter().map(|r| r.disconnected).collect();
        let expected: Vec<bool> = (0..2).map(|index| index != kept).collect();
        assert_eq!(disconnected, expected, "{first:?}");
    }
}

/// Guards against a stream that is cut although time is left and another endpoint is free, because
/// endpoints that have ended meanwhile used up its attempts.
#[tokio::test]
async fn endpoints_that_have_ended_use_up_no_attempts() {
    let cases = [("gone", GONE), ("gone late", GONE_LATE)];
    let play = async |(name, gone): (&'static str, Behaviour)| {
        let engines = Engine::group("llm", 3, &[SILENT, gone, REST]).await;
        let deployment = Deployment::start(1, engines).await;
        let leaving = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let mut engines = deployment.engines.iter();
            let first = engines.find(|engine| !engine.received().is_empty());
            let first = first.expect("an endpoint with the stream");
            deployment.store.remove("keyed.servers", &first.id);
        };
        let request = request();
        let sending = deployment.gateways[0].send(&request);
        let (response, ()) = tokio::join!(sending, leaving);
        difference(name, &response.expect("a response"))
    };
    let differences = futures::future::join_all(cases.map(play)).await;
    let differences: Vec<String> = differences.into_iter().flatten().collect();
    assert!(differences.is_empty(), "{differences:#?}");
}

/// Guards against a stream that is cut although time is left, because no other endpoint was free at
/// the moment when its own broke off.
#[tokio::test]
async fn a_broken_stream_waits_for_an_endpoint() {
    let engines = vec![
        Engine::start("e0", "llm", Behaviour::Truncate(3)).await,
        Engine::start("e1", "llm", REST).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    let late = &deployment.engines[1];
    deployment.store.remove("keyed.servers", &late.id);
    deployment.wait_for_propagation().await;
    let registering = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut entry = late.entry("ready", 1);
        entry["born"] = 2_000.into();
        deployment.store.put("keyed.servers", &late.id, &entry);
    };
    let request = request();
    let sending = deployment.gateways[0].send(&request);
    let (response, ()) = tokio::join!(sending, registering);
    let response = response.expect("a response");
    assert_eq!(difference("late", &response), None);
    let waits = deployment.gateways[0].log_lines("stream waits", Some(&response.id));
    assert_eq!(waits.len(), 1, "{waits:?}");
}

/// Guards against a stream that waits for an endpoint although none may take it, and against a cut
/// whose log line doesn't say why no further attempt was made.
#[tokio::test]
async fn a_stream_that_no_endpoint_may_take_is_cut_at_once() {
    let mut engines =
        Engine::group("llm", 3, &[Behaviour::Truncate(3), Behaviour::Truncate(2)]).await;
    engines.push(Engine::start("e3", "app", Behaviour::Respond(200, 0)).await);
    let config = config(1);
    let deployment = Deployment::start_with(1, engines, &config).await;
    let response = deployment.gateways[0].send(&request()).await;
    let response = response.expect("a response");
    assert!(!response.complete);
    assert_eq!(response.body, events(0..5));
    assert!(response.took < Duration::from_millis(1_000), "{response:?}");
    let lines = || deployment.gateways[0].log_lines("request", Some(&response.id));
    eventually("the request is logged", async || !lines().is_empty()).await;
    let lines = lines();
    assert_eq!(lines[0]["outcome"], "cut", "{lines:?}");
    let why = lines[0]["why"].as_str().expect("text");
    assert!(why.ends_with("the attempts are used up"), "{why}");
}
