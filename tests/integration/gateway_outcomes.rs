//! Responses to callers, and executions at endpoints, when endpoints misbehave.

use std::time::{Duration, Instant};

use crate::harness::eventually;
use crate::platform::{Behaviour, Deployment, Engine, Request, Response};

const OK: Behaviour = Behaviour::Respond(200, 0);

/// Two endpoints of one service, of which the first to be chosen misbehaves.
struct Pair {
    deployment: Deployment,
}

impl Pair {
    async fn start(service: &str) -> Self {
        let engines = vec![
            Engine::start("e0", service, OK).await,
            Engine::start("e1", service, OK).await,
        ];
        Self {
            deployment: Deployment::start(1, engines).await,
        }
    }

    /// Sends a request while the endpoint chosen first behaves as `bad` and the other one as
    /// `good`.
    async fn send(&self, request: &Request, bad: Behaviour, good: Behaviour) -> Option<Response> {
        let engines = &self.deployment.engines;
        for engine in engines {
            engine.set_behaviour(good);
        }
        let chosen = self.first_choice(request).await?;
        engines[chosen].set_behaviour(bad);
        self.deployment.gateways[0].send(request).await
    }

    /// Returns the index of the endpoint that requests are sent to first. The choice between equal
    /// endpoints is deterministic, so that a request reveals it.
    async fn first_choice(&self, request: &Request) -> Option<usize> {
        let engines = &self.deployment.engines;
        let received = || engines.iter().map(|engine| engine.received().len());
        let before: Vec<usize> = received().collect();
        self.deployment.gateways[0].send(request).await?;
        received()
            .zip(&before)
            .position(|(after, before)| after > *before)
    }

    /// Returns how often endpoints ran the request with this id.
    fn runs(&self, id: &str) -> usize {
        let received = self.deployment.engines.iter().flat_map(Engine::received);
        received
            .filter(|request| request.ran && request.header("x-almondpath-attempt-id") == Some(id))
            .count()
    }
}

/// Guards against a second run of a request that must not be retried, against a status that wrongly
/// guarantees that the request has not run, and against responses that belong to another request or
/// don't come from an endpoint.
#[tokio::test]
async fn outcomes_of_plain_requests() {
    struct Case {
        path: &'static str,
        bad: Behaviour,
        status: u16,
        runs: usize,
    }
    let case = |path, bad, status, runs| Case {
        path,
        bad,
        status,
        runs,
    };
    let cases = [
        case("/safe/x", Behaviour::Respond(500, 0), 200, 2),
        case("/safe/x", Behaviour::Close, 200, 2),
        case("/safe/x", Behaviour::WrongRequestId, 200, 2),
        case("/safe/x", Behaviour::Unsigned, 200, 2),
        case("/safe/x", Behaviour::NoLength, 200, 2),
        case("/safe/x", Behaviour::Decline, 200, 1),
        case("/safe/x", Behaviour::Misdirected, 200, 1),
        case("/safe/x", Behaviour::Hang, 200, 2),
        case("/unsafe/x", Behaviour::Respond(500, 0), 500, 1),
        case("/unsafe/x", Behaviour::Close, 502, 1),
        case("/unsafe/x", Behaviour::WrongRequestId, 502, 1),
        case("/unsafe/x", Behaviour::Unsigned, 502, 1),
        case("/unsafe/x", Behaviour::NoLength, 502, 1),
        case("/unsafe/x", Behaviour::Decline, 200, 1),
        case("/unsafe/x", Behaviour::Misdirected, 200, 1),
        case("/unsafe/x", Behaviour::Hang, 504, 1),
    ];
    for case in cases {
        let name = format!("{} {:?}", case.path, case.bad);
        let pair = Pair::start("app").await;
        let mut request = Request::new(case.path);
        request.deadline_ms = 1_200;
        let response = pair.send(&request, case.bad, OK).await.expect(&name);
        assert_eq!(response.status, case.status, "{name}");
        assert_eq!(pair.runs(&response.id), case.runs, "{name}");
        assert!(
            response.took < Duration::from_millis(1_450),
            "{name}: {:?}",
            response.took
        );
    }
}

/// Guards against an earlier refusal that is taken for the response to a request which the endpoint
/// runs, so that the caller is told to repeat it or it runs at a second endpoint.
#[tokio::test]
async fn a_refusal_that_may_be_of_another_request_promises_nothing() {
    let refusals = [
        "503 X\r\nX-Almondpath-Not-Executed: 1",
        "503 X\r\nX-Almondpath-Not-Executed: 1\r\nX-Almondpath-Attempt-Id: earlier",
        "429 X\r\nX-Almondpath-Not-Executed: 1",
        "421 X\r\nX-Almondpath-Instance-Id: other",
        "503 X",
        "429 X",
        "408 X",
    ];
    for refusal in refusals {
        let pair = Pair::start("app").await;
        let request = Request::new("/unsafe/x");
        let response = pair.send(&request, Behaviour::Refuse(refusal), OK).await;
        let response = response.expect(refusal);
        assert_eq!(response.status, 502, "{refusal}");
        assert_eq!(pair.runs(&response.id), 1, "{refusal}");
    }
}

/// Guards against endpoints that write bytes without end, which are no response, hold a request beyond
/// its deadline, or exceed the memory of the process (260 MB in its settings).
#[tokio::test]
async fn endless_bytes_are_cut_off_within_deadline_and_memory() {
    struct Case {
        name: &'static str,
        path: &'static str,
        service: &'static str,
        start: &'static str,
        filler: &'static str,
    }
    let case = |name, path, service, start, filler| Case {
        name,
        path,
        service,
        start,
        filler,
    };
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let cases = [
        case("no response", "/unsafe/x", "app", "x", "x"),
        case("a header", "/unsafe/x", "app", "HTTP/1.1 200 X\r\nA: ", "x"),
        case(
            "headers",
            "/unsafe/x",
            "app",
            "HTTP/1.1 200 X\r\n",
            "A: b\r\n",
        ),
        case("interim heads", "/unsafe/x", "app", interim, interim),
        case("a body", "/unsafe/x", "app", "{head}", "x"),
        case("an event", "/resumed/x", "llm", "{head}", "x"),
        case("comments", "/stream/x", "llm", "{head}", ":\n\n"),
        case(
            "comments after an event",
            "/resumed/x",
            "llm",
            "{head}id: 0\ndata: a\n\n",
            ":\n\n",
        ),
        case("events", "/stream/x", "llm", "{head}", "data: a\n\n"),
        case(
            "a stream",
            "/resumed/x",
            "llm",
            "{head}id: 0\ndata: a\n\n",
            "x",
        ),
    ];
    for case in cases {
        let endless = Behaviour::Endless(case.start, case.filler);
        let engine = Engine::start("e0", case.service, endless).await;
        let deployment = Deployment::start(1, vec![engine]).await;
        let gateway = &deployment.gateways[0];
        let mut request = Request::new(case.path);
        request.deadline_ms = 1_500;
        let sending = (0..60).map(|_| gateway.send(&request));
        for response in futures::future::join_all(sending)
            .await
            .into_iter()
            .flatten()
        {
            let success = response.status == 200 && response.complete;
            assert!(!success, "{}: {}", case.name, response.status);
            let limit = Duration::from_millis(2_000);
            assert!(response.took < limit, "{}: {:?}", case.name, response.took);
        }
        eventually("the connections are closed", async || {
            let received = deployment.engines[0].received();
            received.iter().all(|request| request.disconnected)
        })
        .await;
        let memory = gateway.peak_memory_kib();
        assert!(memory < 260_000, "{}: {memory} KiB", case.name);
    }
}

/// Guards against a refusal without `Retry-After`, and against refusing a request that has run.
#[tokio::test]
async fn a_request_that_every_endpoint_declines_has_not_run() {
    let pair = Pair::start("app").await;
    for engine in &pair.deployment.engines {
        engine.set_behaviour(Behaviour::Decline);
    }
    let response = pair.deployment.gateways[0]
        .send(&Request::new("/unsafe/x"))
        .await;
    let response = response.expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(pair.runs(&response.id), 0);
}

/// Guards against requests at an endpoint that has asked this node to stay away for some time.
#[tokio::test]
async fn an_endpoint_that_states_a_retry_delay_gets_no_request_until_then() {
    const DELAY: Duration = Duration::from_millis(1_500);
    /// The node's clock counts whole ms.
    const CLOCK_STEP: Duration = Duration::from_millis(1);
    /// Delays are rounded up to hundredths of a second.
    const ROUNDING: Duration = Duration::from_millis(10);
    let engines = vec![
        Engine::start("e0", "app", OK).await,
        Engine::start("e1", "app", OK).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    let gateway = &deployment.gateways[0];
    let request = Request::new("/unsafe/x");
    for engine in &deployment.engines {
        engine.set_behaviour(Behaviour::Decline);
        engine.add_header("Retry-After", "1.5");
    }
    // The endpoints decline, and later requests are refused, at some time while these are under way.
    let declining_from = Instant::now();
    let response = gateway.send(&request).await.expect("a response");
    let declined_by = Instant::now();
    assert_eq!(response.status, 503);
    for engine in &deployment.engines {
        engine.set_behaviour(OK);
    }
    let received = || -> Vec<usize> {
        let engines = deployment.engines.iter();
        engines.map(|engine| engine.received().len()).collect()
    };
    let before = received();
    assert_eq!(before, [1, 1]);
    let mut refusals = 0;
    loop {
        let asked_at = Instant::now();
        let response = gateway.send(&request).await.expect("a response");
        let answered_at = Instant::now();
        if answered_at >= declining_from + DELAY {
            break;
        }
        refusals += 1;
        assert_eq!(response.status, 503);
        let delay = response.headers["retry-after"].to_str().expect("text");
        let delay = Duration::from_secs_f64(delay.parse().expect("seconds"));
        let least = declining_from + DELAY - answered_at;
        let most = declined_by + DELAY - asked_at + ROUNDING + 2 * CLOCK_STEP;
        assert!(
            (least..=most).contains(&delay),
            "{delay:?}, not {least:?} to {most:?}"
        );
        assert_eq!(received(), before);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(refusals > 0, "the requests took too long to show anything");
    tokio::time::sleep_until((declined_by + DELAY + 2 * CLOCK_STEP).into()).await;
    let response = gateway.send(&request).await.expect("a response");
    assert_eq!(response.status, 200);
}

/// Guards against a surplus response that is taken for the response to the next request.
#[tokio::test]
async fn a_duplicate_response_is_discarded() {
    let engines = vec![Engine::start("e0", "app", Behaviour::DuplicateResponse).await];
    let deployment = Deployment::start(1, engines).await;
    for _ in 0..10 {
        let response = deployment.gateways[0]
            .send(&Request::new("/unsafe/x"))
            .await;
        let response = response.expect("a response");
        assert_eq!((response.status, &*response.body), (200, "response of e0"));
        assert_eq!(response.headers["x-almondpath-attempt-id"], *response.id);
    }
}

fn events(range: std::ops::Range<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Guards against events that are missing, duplicated or truncated after a stream resumes, and
/// against a truncated stream that looks complete.
#[tokio::test]
async fn streams_resume_only_where_the_route_allows_it() {
    let good = Behaviour::Stream(8, 5);
    let pair = Pair::start("llm").await;
    let resumed = pair
        .send(&Request::new("/resumed/x"), Behaviour::Truncate(3), good)
        .await;
    let resumed = resumed.expect("a response");
    assert!(resumed.complete);
    assert_eq!(resumed.body, events(0..8));
    assert_eq!(pair.runs(&resumed.id), 2);
    let received = pair.deployment.engines.iter().flat_map(Engine::received);
    let after: Vec<_> = received
        .filter_map(|request| request.header("last-event-id").map(str::to_owned))
        .collect();
    assert_eq!(after, ["2"]);

    let pair = Pair::start("llm").await;
    let truncated = pair
        .send(&Request::new("/stream/x"), Behaviour::Truncate(3), good)
        .await;
    let truncated = truncated.expect("a response");
    assert!(!truncated.complete);
    assert_eq!(truncated.body, events(0..3));
    assert_eq!(pair.runs(&truncated.id), 1);
}

/// Guards against a stream without a length or chunks that looks complete, although the endpoint broke
/// it off within an event or before the first one.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete_only_after_an_event() {
    struct Case {
        path: &'static str,
        bad: Behaviour,
        complete: bool,
        events: u64,
        runs: usize,
    }
    let case = |path, bad, complete, events, runs| Case {
        path,
        bad,
        complete,
        events,
        runs,
    };
    let until_close = Behaviour::StreamUntilClose;
    let cases = [
        case("/stream/x", until_close(8, ""), true, 8, 1),
        case("/resumed/x", until_close(8, ""), true, 8, 1),
        case("/stream/x", until_close(3, "id: 3\nda"), false, 3, 1),
        case("/resumed/x", until_close(3, "id: 3\nda"), true, 8, 2),
        case("/resumed/x", until_close(0, ""), true, 8, 2),
        case("/resumed/x", until_close(0, "id"), true, 8, 2),
    ];
    for case in cases {
        let name = format!("{} {:?}", case.path, case.bad);
        let pair = Pair::start("llm").await;
        let request = Request::new(case.path);
        let response = pair.send(&request, case.bad, Behaviour::Stream(8, 5)).await;
        let response = response.expect(&name);
        assert_eq!(response.complete, case.complete, "{name}");
        assert_eq!(response.body, events(0..case.events), "{name}");
        assert_eq!(pair.runs(&response.id), case.runs, "{name}");
    }
    let pair = Pair::start("llm").await;
    let request = Request::new("/stream/x");
    let bad = until_close(0, "");
    let response = pair.send(&request, bad, Behaviour::Stream(8, 5)).await;
    assert_eq!(response.expect("a response").status, 502);
}

/// Guards against a request that ends without its answer because its endpoint, which still works on
/// it, is silent and no other endpoint may take the request.
#[tokio::test]
async fn a_silent_endpoint_is_kept_while_no_other_may_take_the_request() {
    struct Case {
        name: &'static str,
        path: &'static str,
        service: &'static str,
        behaviour: Behaviour,
        /// Whether the endpoint's entry is removed while it answers.
        removed: bool,
    }
    let case = |name, path, service, behaviour, removed| Case {
        name,
        path,
        service,
        behaviour,
        removed,
    };
    let stream = Behaviour::Stream;
    let pause = Behaviour::StreamWithPause;
    let cases = [
        case("a gap", "/resumed/x", "llm", pause(3, 2_000, 5), false),
        case("the start", "/resumed/x", "llm", pause(0, 2_500, 5), false),
        case(
            "the head",
            "/safe/x",
            "app",
            Behaviour::Respond(200, 2_500),
            false,
        ),
        case("gone", "/resumed/x", "llm", stream(5, 700), true),
        case("gone, start", "/resumed/x", "llm", pause(0, 3_000, 5), true),
        case(
            "gone, head",
            "/safe/x",
            "app",
            Behaviour::Respond(200, 3_000),
            true,
        ),
    ];
    let play = async |case: Case| {
        let name = case.name;
        let engine = Engine::start("e0", case.service, case.behaviour).await;
        let deployment = Deployment::start(1, vec![engine]).await;
        let mut request = Request::new(case.path);
        request.deadline_ms = 3_900;
        let removing = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if case.removed {
                deployment.store.remove("keyed.servers", "e0");
            }
        };
        let sending = deployment.gateways[0].send(&request);
        let (response, ()) = tokio::join!(sending, removing);
        let response = response.expect(name);
        (name, response.status, response.complete, response.body)
    };
    let results = futures::future::join_all(cases.map(play)).await;
    let whole = events(0..5);
    for (name, status, complete, body) in &results {
        let expected = if name.ends_with("head") {
            "response of e0"
        } else {
            &whole
        };
        let got = (*status, *complete, &**body);
        assert_eq!(got, (200, true, expected), "{name}: {results:?}");
    }
}

/// Guards against a stream that ends within a pause of its endpoint since its attempts are used up.
#[tokio::test]
async fn a_silent_endpoint_is_kept_when_the_attempts_are_used_up() {
    let pair = Pair::start("llm").await;
    for engine in &pair.deployment.engines {
        engine.set_behaviour(Behaviour::Stream(8, 1));
    }
    let mut request = Request::new("/resumed/x");
    request.deadline_ms = 3_900;
    let first = pair.first_choice(&request).await.expect("a response");
    pair.deployment.engines[first].set_behaviour(Behaviour::Truncate(3));
    pair.deployment.engines[1 - first].set_behaviour(Behaviour::StreamWithPause(2, 2_000, 8));
    let response = pair.deployment.gateways[0].send(&request).await;
    let response = response.expect("a response");
    assert!(response.complete, "{}", response.body);
    assert_eq!(response.body, events(0..8));
    assert_eq!(pair.runs(&response.id), 2);
}

/// Guards against a silent endpoint that is never replaced, and against one that is replaced by an
/// endpoint that registers later only after all its looks have used up the retries.
#[tokio::test]
async fn a_silent_endpoint_is_replaced_once_another_may_take_the_request() {
    struct Case {
        path: &'static str,
        service: &'static str,
        silent: Behaviour,
        good: Behaviour,
        body: String,
    }
    let answer = Behaviour::Respond(200, 0);
    let stream = Behaviour::Stream(5, 1);
    let case = |path, service, silent, good, body| Case {
        path,
        service,
        silent,
        good,
        body,
    };
    let cases = [
        case(
            "/resumed/x",
            "llm",
            Behaviour::StreamWithPause(3, 9_000, 5),
            stream,
            events(0..5),
        ),
        case("/resumed/x", "llm", Behaviour::Hang, stream, events(0..5)),
        case(
            "/safe/x",
            "app",
            Behaviour::Hang,
            answer,
            "response of e1".to_owned(),
        ),
    ];
    for case in cases {
        let name = format!("{} {:?}", case.path, case.silent);
        let engines = vec![
            Engine::start("e0", case.service, case.silent).await,
            Engine::start("e1", case.service, case.good).await,
        ];
        let deployment = Deployment::start(1, engines).await;
        let late = &deployment.engines[1];
        deployment.store.remove("keyed.servers", &late.id);
        deployment.wait_for_propagation().await;
        let mut request = Request::new(case.path);
        request.deadline_ms = 3_900;
        let registering = async {
            // Longer than the silence after which another endpoint is sought.
            tokio::time::sleep(Duration::from_millis(2_300)).await;
            let mut entry = late.entry("ready", 1);
            entry["born"] = 2_000.into();
            deployment.store.put("keyed.servers", &late.id, &entry);
        };
        // Together, their looks exceed the slack of the retry budget many times.
        let sending = (0..20).map(|_| deployment.gateways[0].send(&request));
        let (responses, ()) = tokio::join!(futures::future::join_all(sending), registering);
        for response in responses {
            let response = response.expect(&name);
            assert!(response.complete, "{name}: {}", response.body);
            assert_eq!(response.body, case.body, "{name}");
        }
        let received = deployment.engines[0].received();
        assert!(
            received.iter().all(|request| request.disconnected),
            "{name}"
        );
    }
}

/// Guards against a stream that starts from the beginning for a caller that resumes.
#[tokio::test]
async fn a_caller_resumes_after_its_last_event() {
    let engines = vec![Engine::start("e0", "llm", Behaviour::Stream(6, 1)).await];
    let deployment = Deployment::start(1, engines).await;
    let mut request = Request::new("/resumed/x");
    request.headers.push(("last-event-id", "2".to_owned()));
    let response = deployment.gateways[0]
        .send(&request)
        .await
        .expect("a response");
    assert_eq!(response.body, events(3..6));
}

/// Guards against endpoints that keep working for callers that have disconnected.
#[tokio::test]
async fn a_disconnecting_caller_cancels_the_endpoints_work() {
    let engines = vec![
        Engine::start("e0", "llm", Behaviour::Stream(100, 50)).await,
        Engine::start("e1", "app", Behaviour::Respond(200, 3_000)).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    for path in ["/resumed/x", "/safe/x"] {
        let request = Request::new(path);
        let sending = deployment.gateways[0].send(&request);
        let abandoned = tokio::time::timeout(Duration::from_millis(400), sending).await;
        assert!(abandoned.is_err(), "{path} is still being answered");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    for engine in &deployment.engines {
        assert!(
            engine.received().iter().all(|request| request.disconnected),
            "{}",
            engine.id
        );
    }
}

/// Guards against a request that is held beyond the caller's timeout.
#[tokio::test]
async fn a_final_response_is_sent_by_the_deadline() {
    let engines = vec![
        Engine::start("e0", "llm", Behaviour::Hang).await,
        Engine::start("e1", "app", Behaviour::Hang).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    for path in ["/resumed/x", "/stream/x", "/safe/x", "/unsafe/x"] {
        let mut request = Request::new(path);
        request.deadline_ms = 700;
        let response = deployment.gateways[0]
            .send(&request)
            .await
            .expect("a response");
        assert!(
            [502, 504].contains(&response.status),
            "{path}: {}",
            response.status
        );
        assert!(
            response.took < Duration::from_millis(900),
            "{path}: {:?}",
            response.took
        );
    }
    for engine in &deployment.engines {
        for request in engine.received() {
            let given = request.header("x-almondpath-deadline-ms").expect("a time");
            let given: u64 = given.parse().expect("a number");
            assert!(given <= 700, "{given} ms of 700");
        }
    }
}
