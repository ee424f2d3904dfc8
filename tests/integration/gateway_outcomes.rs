//! What callers get, and what endpoints run, when endpoints misbehave.

use std::time::Duration;

use crate::platform::{Answer, Ask, Behaviour, Deployment, Engine};

const ANSWER: Behaviour = Behaviour::Answer(200, 0);

/// Two endpoints of one service, of which the first one to be chosen misbehaves.
struct Pair {
    deployment: Deployment,
}

impl Pair {
    async fn start(service: &str) -> Self {
        let engines = vec![
            Engine::start("e0", service, ANSWER).await,
            Engine::start("e1", service, ANSWER).await,
        ];
        Self {
            deployment: Deployment::start(1, engines).await,
        }
    }

    /// Sends a request whose first endpoint behaves as `bad`; the other one as `good`.
    async fn send(&self, ask: &Ask, bad: Behaviour, good: Behaviour) -> Option<Answer> {
        let engines = &self.deployment.engines;
        let before: Vec<usize> = engines.iter().map(|engine| engine.got().len()).collect();
        // The choice between equal endpoints is the same each time.
        for engine in engines {
            engine.set(good);
        }
        self.deployment.gateways[0].send(ask).await?;
        let chosen = engines
            .iter()
            .zip(&before)
            .position(|(engine, before)| engine.got().len() > *before)?;
        engines[chosen].set(bad);
        self.deployment.gateways[0].send(ask).await
    }

    /// Returns how often endpoints worked on an attempt.
    fn runs(&self, id: &str) -> usize {
        let got = self.deployment.engines.iter().flat_map(Engine::got);
        got.filter(|got| got.ran && got.header("x-almondpath-attempt-id") == Some(id))
            .count()
    }
}

/// Guards against a second run of a request that must not be repeated, a false promise that it has
/// not run, and a response of another request or of no endpoint.
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
        case("/safe/x", Behaviour::Answer(500, 0), 200, 2),
        case("/safe/x", Behaviour::Close, 200, 2),
        case("/safe/x", Behaviour::Foreign, 200, 2),
        case("/safe/x", Behaviour::Unsigned, 200, 2),
        case("/safe/x", Behaviour::Unframed, 200, 2),
        case("/safe/x", Behaviour::Shed, 200, 1),
        case("/safe/x", Behaviour::Misdirected, 200, 1),
        case("/safe/x", Behaviour::Silent, 200, 2),
        case("/unsafe/x", Behaviour::Answer(500, 0), 500, 1),
        case("/unsafe/x", Behaviour::Close, 502, 1),
        case("/unsafe/x", Behaviour::Foreign, 502, 1),
        case("/unsafe/x", Behaviour::Unsigned, 502, 1),
        case("/unsafe/x", Behaviour::Unframed, 502, 1),
        case("/unsafe/x", Behaviour::Shed, 200, 1),
        case("/unsafe/x", Behaviour::Misdirected, 200, 1),
        case("/unsafe/x", Behaviour::Silent, 504, 1),
    ];
    for case in cases {
        let name = format!("{} {:?}", case.path, case.bad);
        let pair = Pair::start("app").await;
        let mut ask = Ask::new(case.path);
        ask.deadline_ms = 1_200;
        let answer = pair.send(&ask, case.bad, ANSWER).await.expect(&name);
        assert_eq!(answer.status, case.status, "{name}");
        assert_eq!(pair.runs(&answer.id), case.runs, "{name}");
        assert!(
            answer.took < Duration::from_millis(1_450),
            "{name}: {:?}",
            answer.took
        );
    }
}

/// Guards against a refusal without a time to come back, and against one that has run.
#[tokio::test]
async fn a_request_that_every_endpoint_declines_has_not_run() {
    let pair = Pair::start("app").await;
    for engine in &pair.deployment.engines {
        engine.set(Behaviour::Shed);
    }
    let answer = pair.deployment.gateways[0]
        .send(&Ask::new("/unsafe/x"))
        .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(pair.runs(&answer.id), 0);
}

/// Guards against an extra response that is taken for the next request's.
#[tokio::test]
async fn a_second_response_reaches_nobody() {
    let engines = vec![Engine::start("e0", "app", Behaviour::Twice).await];
    let deployment = Deployment::start(1, engines).await;
    for _ in 0..10 {
        let answer = deployment.gateways[0].send(&Ask::new("/unsafe/x")).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &*answer.body), (200, "answer of e0"));
        assert_eq!(answer.headers["x-almondpath-attempt-id"], *answer.id);
    }
}

fn events(range: std::ops::Range<u64>) -> String {
    range
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Guards against a piece that is missing, comes twice or is cut, and a stream that looks complete
/// though it is not.
#[tokio::test]
async fn streams_go_on_where_they_may() {
    let good = Behaviour::Stream(8, 5);
    let pair = Pair::start("llm").await;
    let resumed = pair
        .send(&Ask::new("/resumed/x"), Behaviour::Cut(3), good)
        .await;
    let resumed = resumed.expect("an answer");
    assert!(resumed.complete);
    assert_eq!(resumed.body, events(0..8));
    assert_eq!(pair.runs(&resumed.id), 2);
    let got = pair.deployment.engines.iter().flat_map(Engine::got);
    let after: Vec<_> = got
        .filter_map(|got| got.header("last-event-id").map(str::to_owned))
        .collect();
    assert_eq!(after, ["2"]);

    let pair = Pair::start("llm").await;
    let cut = pair
        .send(&Ask::new("/stream/x"), Behaviour::Cut(3), good)
        .await;
    let cut = cut.expect("an answer");
    assert!(!cut.complete);
    assert_eq!(cut.body, events(0..3));
    assert_eq!(pair.runs(&cut.id), 1);
}

/// Guards against a stream that starts again from its beginning for a caller that resumes.
#[tokio::test]
async fn a_caller_resumes_after_its_last_event() {
    let engines = vec![Engine::start("e0", "llm", Behaviour::Stream(6, 1)).await];
    let deployment = Deployment::start(1, engines).await;
    let mut ask = Ask::new("/resumed/x");
    ask.headers.push(("last-event-id", "2".to_owned()));
    let answer = deployment.gateways[0].send(&ask).await.expect("an answer");
    assert_eq!(answer.body, events(3..6));
}

/// Guards against endpoints that work for callers who have left.
#[tokio::test]
async fn an_endpoint_is_told_when_the_caller_leaves() {
    let engines = vec![
        Engine::start("e0", "llm", Behaviour::Stream(100, 50)).await,
        Engine::start("e1", "app", Behaviour::Answer(200, 3_000)).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    for path in ["/resumed/x", "/safe/x"] {
        let ask = Ask::new(path);
        let sending = deployment.gateways[0].send(&ask);
        let left = tokio::time::timeout(Duration::from_millis(400), sending).await;
        assert!(left.is_err(), "{path} is still being answered");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    for engine in &deployment.engines {
        assert!(engine.got().iter().all(|got| got.left), "{}", engine.id);
    }
}

/// Guards against a request that is held beyond the caller's patience.
#[tokio::test]
async fn a_final_answer_comes_when_the_time_is_over() {
    let engines = vec![
        Engine::start("e0", "llm", Behaviour::Silent).await,
        Engine::start("e1", "app", Behaviour::Silent).await,
    ];
    let deployment = Deployment::start(1, engines).await;
    for path in ["/resumed/x", "/stream/x", "/safe/x", "/unsafe/x"] {
        let mut ask = Ask::new(path);
        ask.deadline_ms = 700;
        let answer = deployment.gateways[0].send(&ask).await.expect("an answer");
        assert!(
            [502, 504].contains(&answer.status),
            "{path}: {}",
            answer.status
        );
        assert!(
            answer.took < Duration::from_millis(900),
            "{path}: {:?}",
            answer.took
        );
    }
    for engine in &deployment.engines {
        for got in engine.got() {
            let given = got.header("x-almondpath-deadline-ms").expect("a time");
            let given: u64 = given.parse().expect("a number");
            assert!(given <= 700, "{given} ms of 700");
        }
    }
}
