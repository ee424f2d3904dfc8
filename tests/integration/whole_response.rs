//! Each caller gets the complete response to its own request, with all tokens from one sampling
//! run.

use almondpath::clock::Millis;
use almondpath::standin::token_text;
use almondpath::stream::{Chunk, Cursor, Phase, Progress, Transcript};
use hyper::Method;
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::harness::{ACCOUNT_TOKEN, Cluster, seeded_config};
use crate::streaming::Streaming;

/// One step in the life of a response that several nodes hold one after the other.
#[derive(Clone, Debug)]
enum Step {
    Begin,
    Generate(u8),
    LateChunk(u8),
    OutOfOrder(u8),
    Replicate,
    /// The backup copy takes over; the caller goes there when the flag is set.
    TakeOver(u16, bool),
    Read,
    /// The caller reads again from an earlier holder, which was only paused.
    GoBack,
}

/// A chain of holders of one response, and a caller that reads from one of them.
#[derive(Default)]
struct Model {
    holders: Vec<Transcript>,
    copy: Transcript,
    caller: Vec<String>,
    cursor: Cursor,
    /// Index of the holder from which the caller reads.
    at: usize,
}

impl Model {
    fn step(&mut self, step: &Step) {
        let last = self.holders.len() - 1;
        let holder = &mut self.holders[last];
        match *step {
            Step::Begin => {
                holder.begin_attempt();
            }
            Step::Generate(count) => {
                for _ in 0..count {
                    let chunk = next_chunk(holder);
                    holder.push(&chunk);
                }
            }
            Step::LateChunk(back) => {
                let attempt = holder.attempt().saturating_sub(u32::from(back) + 1);
                let chunk = Chunk {
                    attempt,
                    ..next_chunk(holder)
                };
                assert!(
                    !holder.push(&chunk),
                    "a chunk of an earlier attempt was accepted"
                );
            }
            Step::OutOfOrder(ahead) => {
                let mut chunk = next_chunk(holder);
                chunk.offset += u32::from(ahead) + 1;
                assert!(!holder.push(&chunk), "a chunk after a gap was accepted");
            }
            Step::Replicate => {
                let progress = progress(holder, self.copy.len().min(holder.len()));
                assert!(self.copy.apply(&progress));
            }
            Step::TakeOver(salt, follow) => {
                let mut copy = self.copy.clone();
                copy.take_over(salt);
                self.holders.push(copy);
                if follow {
                    self.at = last + 1;
                }
            }
            Step::GoBack => self.at = self.at.saturating_sub(1),
            Step::Read => self.read(),
        }
    }

    fn read(&mut self) {
        let batch = self.holders[self.at].read(self.cursor);
        if let Some(restart) = batch.restart {
            assert!(restart.offset <= self.cursor.offset);
            self.caller.truncate(restart.offset as usize);
        }
        for chunk in &batch.chunks {
            assert_eq!(chunk.offset as usize, self.caller.len());
            self.caller.push(chunk.text.to_string());
        }
        self.cursor = batch.cursor;
        assert_one_sampling(&self.caller);
    }
}

fn next_chunk(transcript: &Transcript) -> Chunk {
    let length = transcript.len();
    let last = transcript.texts(length.saturating_sub(1)).next();
    let sampling = format!("{:08x}", transcript.attempt());
    Chunk {
        attempt: transcript.attempt(),
        offset: length,
        text: token_text(length as usize, &sampling, last),
    }
}

fn progress(transcript: &Transcript, offset: u32) -> Progress {
    Progress {
        id: uuid::Uuid::nil(),
        runs: transcript.runs().to_vec(),
        offset,
        texts: transcript.texts(offset).map(String::from).collect(),
        source: None,
        phase: Phase::Running,
    }
}

/// Asserts that each token continues the token before it, so that all are from one sampling run.
pub(crate) fn assert_one_sampling<T>(tokens: &[T])
where
    T: AsRef<str>,
{
    let mut previous = None;
    for (offset, text) in tokens.iter().enumerate() {
        let text = text.as_ref();
        let sampling = text.split('.').nth(1).expect("a token names its sampling");
        let expected = token_text(offset, sampling, previous);
        assert_eq!(
            text, &*expected,
            "token {offset} continues another sampling run"
        );
        previous = Some(text);
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Begin),
        4 => (1..6_u8).prop_map(Step::Generate),
        1 => (0..3_u8).prop_map(Step::LateChunk),
        1 => (0..3_u8).prop_map(Step::OutOfOrder),
        3 => Just(Step::Replicate),
        1 => (any::<u16>(), any::<bool>()).prop_map(|(salt, go)| Step::TakeOver(salt, go)),
        4 => Just(Step::Read),
        1 => Just(Step::GoBack),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(seeded_config(2000))]

    /// Guards against a response that mixes two sampling runs, or loses or repeats a chunk, when
    /// holders change, copies lag behind, and a paused holder resumes.
    #[test]
    fn a_caller_never_mixes_two_samplings(steps in steps()) {
        let mut model = Model { holders: vec![Transcript::default()], ..Model::default() };
        model.holders[0].begin_attempt();
        for step in &steps {
            model.step(step);
        }
        // At the end the caller follows the last holder, which completes the response.
        model.at = model.holders.len() - 1;
        model.step(&Step::Begin);
        model.step(&Step::Generate(3));
        model.holders[model.at].finish(Phase::Done);
        model.read();
        let all: Vec<String> = model.holders[model.at].texts(0).map(String::from).collect();
        prop_assert_eq!(&model.caller, &all);
    }

    /// Guards against a caller that sends only its offset, as a browser does, and gets the rest of
    /// a different sampling run from a node that took over with a shorter copy.
    #[test]
    fn an_offset_alone_is_enough_after_a_takeover(
        owned in 0..20_u8, copied in 0..20_u8, generated in 0..20_u8, new_attempt: bool, salt: u16,
    ) {
        let mut model = Model { holders: vec![Transcript::default()], ..Model::default() };
        model.step(&Step::Begin);
        model.step(&Step::Generate(copied.min(owned)));
        model.step(&Step::Replicate);
        model.step(&Step::Generate(owned - copied.min(owned)));
        model.step(&Step::Read);
        model.step(&Step::TakeOver(salt, true));
        if new_attempt {
            model.step(&Step::Begin);
        }
        model.step(&Step::Generate(generated));
        model.cursor.attempt = None;
        model.step(&Step::Read);
        let length = model.holders[1].len() as usize;
        prop_assert_eq!(model.caller.len(), length);
    }
}

/// The events of a response as they arrive, read without almondpath's own client.
struct Events(Vec<(String, Value)>);

impl Events {
    /// Sends a request to a node and reads its events to the end, following redirects to other
    /// nodes.
    async fn read(
        cluster: &Cluster,
        node: usize,
        method: Method,
        path: &str,
        body: String,
    ) -> Self {
        let http = cluster.http.clone().with_timeout(Millis(15_000));
        let mut address = cluster.nodes[node].listen;
        for _ in 0..3 {
            let request = http.request(method.clone(), address, path, body.clone().into());
            let mut request = request.expect("a valid request");
            let token = format!("Bearer {ACCOUNT_TOKEN}").parse();
            let headers = request.headers_mut();
            headers.insert("authorization", token.expect("a valid header"));
            let response = http.send_unpooled(address, request).await;
            let response = response.expect("the node responds");
            let body = http.body(response).await.expect("a whole response");
            let events = Self::parse(&String::from_utf8_lossy(&body));
            match events.0.last() {
                Some((name, data)) if name == "moved" => {
                    let next = data["addresses"][0].as_str().expect("an address");
                    address = next.parse().expect("an address");
                }
                _ => return events,
            }
        }
        panic!("no node serves {path}");
    }

    fn parse(text: &str) -> Self {
        let mut events = Vec::new();
        let mut name = String::new();
        for line in text.lines() {
            if let Some(event) = line.strip_prefix("event:") {
                event.trim().clone_into(&mut name);
            } else if let Some(data) = line.strip_prefix("data:") {
                let data = serde_json::from_str(data.trim()).unwrap_or_default();
                events.push((name.clone(), data));
            }
        }
        Self(events)
    }

    fn first(&self, name: &str) -> Option<&Value> {
        let mut events = self.0.iter();
        events.find(|event| event.0 == name).map(|event| &event.1)
    }

    /// Returns the tokens of a caller that already has `kept`, and asserts that none is missing.
    fn joined(&self, mut kept: Vec<String>) -> Vec<String> {
        for (name, data) in &self.0 {
            let offset = data["offset"].as_u64().map(|offset| offset as usize);
            match name.as_str() {
                "restart" => kept.truncate(offset.expect("an offset")),
                "chunk" => {
                    assert_eq!(offset, Some(kept.len()), "a chunk is missing or repeated");
                    kept.push(data["text"].as_str().expect("a text").to_owned());
                }
                "error" => panic!("the response failed: {data}"),
                _ => {}
            }
        }
        let done = self.first("done").expect("the response is complete");
        assert_eq!(done["tokens"], kept.len());
        assert_one_sampling(&kept);
        kept
    }
}

/// Guards against a response that reaches a different caller, or two callers, because their
/// requests are equal.
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_the_same_text_get_a_response_each() {
    const TOKENS: usize = 60;
    let cluster = Cluster::start(3, 2, 0).await;
    let body = json!({ "prompt": "the same text", "max_tokens": TOKENS }).to_string();
    let path = "/v1/routes/summary";
    // Two callers at each node.
    let callers = (0..6).map(|caller| {
        let body = body.clone();
        Events::read(&cluster, caller % 3, Method::POST, path, body)
    });
    let responses = futures::future::join_all(callers).await;
    let mut ids = std::collections::BTreeSet::new();
    let mut texts = std::collections::BTreeSet::new();
    for response in responses {
        let accepted = response.first("accepted").expect("the request is accepted");
        ids.insert(accepted["request_id"].to_string());
        let text = response.joined(Vec::new());
        assert_eq!(text.len(), TOKENS);
        texts.insert(text);
    }
    assert_eq!(ids.len(), 6, "two requests have one id");
    assert_eq!(
        texts.len(),
        6,
        "two callers got the response of one sampling run"
    );
}

/// Guards against a holder that continues at an offset beyond its copy, so that the caller mixes
/// its own text with that of a different sampling run.
#[tokio::test(flavor = "multi_thread")]
async fn an_offset_ahead_of_the_holder_names_the_restart() {
    const TOKENS: usize = 300;
    struct Case {
        name: &'static str,
        kill_owner: bool,
        kill_engine: bool,
    }
    let case = |name, kill_owner, kill_engine| Case {
        name,
        kill_owner,
        kill_engine,
    };
    let cases = [
        case("the owner lives", false, false),
        case("a copy took over", true, false),
        case("a copy took over with another engine", true, true),
    ];
    for case in cases {
        let mut cluster = Cluster::start(3, 2, 0).await;
        let streaming = Streaming::start(cluster.client(&[0, 1, 2]), case.name, TOKENS);
        streaming.wait_for_pieces(40).await;
        let owner = cluster.wait_for_holder("owner", &[]).await;
        let dump = cluster.dump(&cluster.nodes[owner]).await.expect("a dump");
        let id = dump["responses"][0]["id"].as_str().expect("an id");
        if case.kill_engine {
            let engine = cluster.busy_engine().await;
            cluster.engines[engine].process.kill();
        }
        if case.kill_owner {
            cluster.nodes[owner].process.kill();
        }
        // Text that no holder has, as if from a sampling run that was lost with its node.
        let lost = vec!["lost ".to_owned(); 2 * TOKENS];
        let path = format!("/v1/requests/{id}?offset={}", lost.len());
        let nodes = (0..3).filter(|node| !case.kill_owner || *node != owner);
        let reads =
            nodes.map(|node| Events::read(&cluster, node, Method::GET, &path, String::new()));
        for events in futures::future::join_all(reads).await {
            let restart = events.first("restart");
            let offset = restart.and_then(|restart| restart["offset"].as_u64());
            let offset = offset.unwrap_or_else(|| panic!("{}: no restart", case.name)) as usize;
            assert!(offset < TOKENS, "{}: restart at {offset}", case.name);
            // A caller that has the holder's text up to the restart gets the rest.
            let known = Events::read(
                &cluster,
                (owner + 1) % 3,
                Method::GET,
                &format!("/v1/requests/{id}?offset=0"),
                String::new(),
            )
            .await
            .joined(Vec::new());
            assert_eq!(known.len(), TOKENS, "{}", case.name);
            let mut kept = known.clone();
            kept.extend(lost.clone());
            assert_eq!(events.joined(kept), known, "{}", case.name);
        }
        streaming.assert_complete(case.name).await;
    }
}

/// Guards against a caller that gets a mix of two sampling runs from two nodes that both serve the
/// response, because its owner was unreachable and has returned.
#[tokio::test(flavor = "multi_thread")]
async fn a_returning_owner_does_not_mix_samplings() {
    const TOKENS: usize = 600;
    struct Case {
        name: &'static str,
        /// Without the engine, each owner continues the response with a sampling run of its own.
        kill_engine: bool,
    }
    let cases = [
        Case {
            name: "one engine stream",
            kill_engine: false,
        },
        Case {
            name: "two samplings",
            kill_engine: true,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start(3, 2, 0).await;
        let streaming = Streaming::start(cluster.client(&[0, 1, 2]), case.name, TOKENS);
        streaming.wait_for_pieces(40).await;
        let owner = cluster.wait_for_holder("owner", &[]).await;
        let dump = cluster.dump(&cluster.nodes[owner]).await.expect("a dump");
        let id = dump["responses"][0]["id"].as_str().expect("an id");
        let path = format!("/v1/requests/{id}?offset=0");
        cluster.nodes[owner].process.signal(libc::SIGSTOP);
        let successor = cluster.wait_for_holder("owner", &[owner]).await;
        if case.kill_engine {
            let engine = cluster.busy_engine().await;
            cluster.engines[engine].process.kill();
        }
        cluster.nodes[owner].process.signal(libc::SIGCONT);
        let reads = (0..3).map(|node| {
            let body = String::new();
            Events::read(&cluster, node, Method::GET, &path, body)
        });
        let reads = futures::future::join_all(reads).await;
        let (texts, ()) = (
            reads.iter().map(|events| events.joined(Vec::new())),
            streaming.assert_complete(case.name).await,
        );
        for text in texts {
            assert_eq!(text.len(), TOKENS, "{}: node {successor}", case.name);
        }
    }
}
