//! Calls between nodes: responses, errors, stalled connections and authentication.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use almondpath::clock::Millis;
use almondpath::document::Document;
use almondpath::error::{Error, ErrorKind};
use almondpath::membership::Message;
use almondpath::peer::{self, Batch, Context, Handle, Handler, Item, Receipt, Tokens};
use almondpath::stream::{Phase, Run};
use almondpath::verdict::Verdict;
use async_trait::async_trait;
use bytes::Bytes;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use uuid::Uuid;

use crate::harness::{Cluster, eventually, free_address};
use crate::relay::{Mode, Relay};
use crate::streaming::Streaming;

const CALL_TIMEOUT: Millis = Millis(300);

/// Time within which a node has reloaded a changed token file.
const RELOAD_TIME: Duration = Duration::from_secs(2);

/// Handler that returns the payload of `hold` calls, which it counts, receipts by the number of
/// texts for `append`, and an error for `find`.
#[derive(Default)]
struct Echo {
    held: Arc<AtomicU32>,
    batches: Arc<Mutex<Vec<Batch>>>,
}

#[async_trait]
impl Handler for Echo {
    async fn probe(&self, _: SocketAddr, message: Message) -> Result<Message, Error> {
        Ok(message)
    }

    async fn hold(&self, payload: Bytes) -> Result<Bytes, Error> {
        self.held.fetch_add(1, Ordering::SeqCst);
        Ok(payload)
    }

    async fn append(&self, batch: Batch) -> Result<Option<Vec<Receipt>>, Error> {
        let receipts = batch.items.iter().map(|item| match item.texts.len() {
            0 => Receipt::Unknown,
            1 => Receipt::Served,
            length => Receipt::Stored(length as u32),
        });
        let receipts = receipts.collect();
        self.batches.lock().expect("batches lock").push(batch);
        Ok(Some(receipts))
    }

    async fn find(&self, _: Bytes) -> Result<Bytes, Error> {
        Err(Error::not_run(ErrorKind::NotFound, "not here"))
    }
}

fn start() -> (SocketAddr, Handle, DropGuard) {
    let peer = Peer::start(None);
    (peer.address, peer.handle, peer.guard)
}

/// A peer server and client with its tokens.
struct Peer {
    address: SocketAddr,
    handle: Handle,
    guard: DropGuard,
    tokens: watch::Sender<Arc<Tokens>>,
    held: Arc<AtomicU32>,
    batches: Arc<Mutex<Vec<Batch>>>,
}

impl Peer {
    /// Starts a node with the tokens of a file, or without a token file.
    fn start(file: Option<&str>) -> Self {
        let address = free_address();
        let token = CancellationToken::new();
        let (sender, receiver) = watch::channel(Arc::new(tokens(file)));
        let echo = Echo::default();
        let (held, batches) = (Arc::clone(&echo.held), Arc::clone(&echo.batches));
        let handle = peer::spawn(
            address,
            Arc::new(echo),
            CALL_TIMEOUT,
            receiver,
            token.clone(),
        );
        Self {
            address,
            handle: handle.expect("a free port"),
            guard: token.drop_guard(),
            tokens: sender,
            held,
            batches,
        }
    }

    async fn hold(&self, at: &Self) -> Result<u32, Error> {
        self.handle.hold(at.address, &7).await
    }
}

fn tokens(file: Option<&str>) -> Tokens {
    let Some(text) = file else {
        return Tokens::default();
    };
    let document = Document::parse("peer_tokens.yaml", text).expect("valid YAML");
    Tokens::from_document(&document).expect("a valid file")
}

const NEW: &str = "peer_tokens: { new: bb }";
const OLD: &str = "peer_tokens: { old: aa }";
const OLD_THEN_NEW: &str = "peer_tokens: { old: aa, new: bb }";
const NEW_THEN_OLD: &str = "peer_tokens: { new: bb, old: aa }";
const OPTIONAL: &str = "{ peer_tokens: { old: aa }, required: false }";

/// Guards against errors of the other node that are reported as a lost connection, and against a
/// method without an implementation whose error says that the call may have run.
#[tokio::test(flavor = "multi_thread")]
async fn responses_and_errors_reach_the_caller() {
    let (address, handle, _guard) = start();
    let text: String = handle.hold(address, &"copy").await.expect("a response");
    assert_eq!(text, "copy");
    let found: Result<String, Error> = handle.find(address, &1).await;
    assert_eq!(found.expect_err("an error").kind(), ErrorKind::NotFound);
    let trip: Result<String, Error> = handle.trip(address, &1).await;
    let trip = trip.expect_err("not implemented");
    assert_eq!(
        (trip.kind(), trip.verdict()),
        (ErrorKind::Unavailable, Verdict::NotRun)
    );
}

/// Guards against a peer that counts as unreachable because one connection stalls, and against a
/// call to a stalled peer that never times out.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_connection_is_replaced_once() {
    struct Case {
        mode: Mode,
        succeeds: bool,
        connections: usize,
    }
    let cases = [
        Case {
            mode: Mode::Pass,
            succeeds: true,
            connections: 1,
        },
        Case {
            mode: Mode::FreezeOld,
            succeeds: true,
            connections: 2,
        },
        Case {
            mode: Mode::FreezeAll,
            succeeds: false,
            connections: 2,
        },
    ];
    let (address, handle, _guard) = start();
    for Case {
        mode,
        succeeds,
        connections,
    } in cases
    {
        let relay = Relay::start(address).await;
        let _: u32 = handle.hold(relay.address, &1).await.expect("a response");
        relay.set(mode);
        let started = Instant::now();
        let result: Result<u32, Error> = handle.hold(relay.address, &7).await;
        assert_eq!(result.is_ok(), succeeds, "{mode:?}: {result:?}");
        assert!(started.elapsed() < Duration::from_secs(2), "{mode:?}");
        assert_eq!(relay.accepted(), connections, "{mode:?}");
    }
}

/// Guards against a node that accepts unauthenticated calls, against a refusal without the verdict
/// "not run", and against nodes that refuse each other while a token is replaced or the setting is
/// rolled out.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_authenticate_each_other_by_token() {
    struct Case {
        caller: Option<&'static str>,
        callee: Option<&'static str>,
        succeeds: bool,
    }
    let case = |caller, callee, succeeds| Case {
        caller,
        callee,
        succeeds,
    };
    let cases = [
        case(Some(OLD), Some(OLD), true),
        // Wrong and missing.
        case(Some(NEW), Some(OLD), false),
        case(None, Some(OLD), false),
        case(Some(NEW), Some(OPTIONAL), false),
        // Rotation: each step is compatible with the previous and the next one.
        case(Some(OLD), Some(OLD_THEN_NEW), true),
        case(Some(OLD_THEN_NEW), Some(OLD), true),
        case(Some(OLD_THEN_NEW), Some(NEW_THEN_OLD), true),
        case(Some(NEW_THEN_OLD), Some(OLD_THEN_NEW), true),
        case(Some(NEW_THEN_OLD), Some(NEW), true),
        case(Some(NEW), Some(NEW_THEN_OLD), true),
        // Introduction of the setting.
        case(None, Some(OPTIONAL), true),
        case(Some(OPTIONAL), None, true),
        case(Some(OPTIONAL), Some(OLD), true),
        case(Some(OLD), Some(OPTIONAL), true),
        case(None, None, true),
    ];
    for Case {
        caller,
        callee,
        succeeds,
    } in cases
    {
        let what = format!("{caller:?} to {callee:?}");
        let (one, other) = (Peer::start(caller), Peer::start(callee));
        let result = one.hold(&other).await;
        assert_eq!(
            other.held.load(Ordering::SeqCst),
            u32::from(succeeds),
            "{what}"
        );
        match result {
            Ok(_) => assert!(succeeds, "{what}"),
            Err(error) => {
                assert!(!succeeds, "{what}: {error}");
                assert_eq!(error.kind(), ErrorKind::Unauthorized, "{what}");
                assert_eq!(error.verdict(), Verdict::NotRun, "{what}");
                assert!(error.message().contains("token"), "{what}: {error}");
            }
        }
    }
}

/// Guards against a token that stays valid on open connections after it was removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_token_closes_its_connections() {
    let (one, other) = (Peer::start(Some(OLD)), Peer::start(Some(OLD_THEN_NEW)));
    one.hold(&other).await.expect("a known token");
    other.tokens.send_replace(Arc::new(tokens(Some(NEW))));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let error = one.hold(&other).await.expect_err("a removed token");
    assert_eq!(error.kind(), ErrorKind::Unauthorized);
    assert_eq!(other.held.load(Ordering::SeqCst), 1);
    one.tokens.send_replace(Arc::new(tokens(Some(NEW))));
    one.hold(&other).await.expect("the new token");
}

/// Guards against connections that stay open without a token, and against unauthenticated
/// connections that exhaust the slots for nodes with a token.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_token_are_bounded() {
    const CONNECTIONS: usize = 200;
    const MAX_UNAUTHENTICATED: usize = 64;
    let peer = Peer::start(Some(OLD));
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        open.push(
            TcpStream::connect(peer.address)
                .await
                .expect("a connection"),
        );
    }
    let mut closed_immediately = 0;
    for stream in &mut open {
        let closed = timeout(Duration::from_millis(1), stream.read_u8()).await;
        closed_immediately += usize::from(closed.is_ok());
    }
    assert!(
        closed_immediately >= CONNECTIONS - MAX_UNAUTHENTICATED,
        "{closed_immediately} closed immediately"
    );
    for stream in &mut open {
        let closed = timeout(Duration::from_secs(3), stream.read_u8()).await;
        assert!(closed.is_ok(), "still open");
    }
    peer.hold(&peer).await.expect("a free slot");
}

/// Guards against nodes that accept or refuse each other contrary to their settings, and against a
/// refusal that no metric counts.
#[tokio::test(flavor = "multi_thread")]
async fn processes_reload_their_tokens() {
    const FAILURES: &str = "almondpath_peer_authentication_failures_total";
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("peer_tokens.yaml");
    std::fs::write(&file, OLD).expect("the file can be written");
    let settings = format!("peer_token_file: {}\n", file.display());
    let cluster = Cluster::start_with(2, 1, 0, &settings).await;
    let stranger = Peer::start(None);
    let node = cluster.nodes[0].peer;
    let ids = serde_json::json!({ "ids": [], "account": null });
    let found: Result<Value, Error> = stranger.handle.find(node, &ids).await;
    let error = found.expect_err("no token");
    assert_eq!(error.kind(), ErrorKind::Unauthorized);
    assert_eq!(error.verdict(), Verdict::NotRun);
    let missing = format!("{FAILURES}{{why=\"missing\"}}");
    assert!(cluster.metric(&[0], &missing).await >= 1.0);

    std::fs::write(&file, OLD_THEN_NEW).expect("the file can be written");
    let (old, new) = (Peer::start(Some(OLD)), Peer::start(Some(NEW)));
    let accepts = async |peer: &Peer| {
        let mut responses = Vec::new();
        for node in &cluster.nodes {
            let found: Result<Value, Error> = peer.handle.find(node.peer, &ids).await;
            responses.push(found.is_ok());
        }
        responses
    };
    eventually("the new token is accepted", async || {
        accepts(&new).await == [true, true]
    })
    .await;
    std::fs::write(&file, NEW_THEN_OLD).expect("the file can be written");
    tokio::time::sleep(RELOAD_TIME).await;
    std::fs::write(&file, NEW).expect("the file can be written");
    eventually("the old token is refused", async || {
        accepts(&old).await == [false, false]
    })
    .await;
    let response = Streaming::start(cluster.client(&[0, 1]), "rotated", 5);
    response.assert_complete("rotated").await;
    let alone = cluster.metric(&[0, 1], "almondpath_accepted_without_backup_total");
    assert_eq!(alone.await, 0.0);
}

/// Guards against texts that are assigned to the wrong copy or offset, because a batch contains
/// them as one concatenated text.
#[tokio::test(flavor = "multi_thread")]
async fn batches_arrive_as_they_were_sent() {
    let item = |texts: &[&str], context| Item {
        id: Uuid::new_v4(),
        attempt: 3,
        offset: 7,
        texts: texts.iter().map(|text| (*text).to_owned()).collect(),
        context,
    };
    let context = Context {
        runs: vec![Run {
            attempt: 3,
            start: 5,
        }],
        source: None,
        phase: Phase::Done,
    };
    let cases = [
        vec![],
        vec![item(&[], None)],
        vec![item(&["a ", "\u{e9}\u{1f41f}", ""], None)],
        vec![
            item(&["x"], None),
            item(&[], Some(context.clone())),
            item(&["\u{df}", "z"], Some(context)),
        ],
    ];
    let peer = Peer::start(None);
    for items in cases {
        let batch = Batch {
            owner: u64::MAX,
            items,
        };
        let receipts = peer.handle.append(peer.address, batch.clone()).await;
        let receipts = receipts.expect("a response").expect("implemented");
        let last = peer.batches.lock().expect("batches lock").pop();
        assert_eq!(last.expect("a batch"), batch);
        let expected = batch.items.iter().map(|item| match item.texts.len() {
            0 => Receipt::Unknown,
            1 => Receipt::Served,
            length => Receipt::Stored(length as u32),
        });
        assert_eq!(receipts, expected.collect::<Vec<_>>());
    }
}
