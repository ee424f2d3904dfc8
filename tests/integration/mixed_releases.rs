//! Compatibility with a node of the release that sends progress as JSON.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use almondpath::clock::Millis;
use almondpath::error::Error;
use almondpath::log::Offset;
use almondpath::membership::{Header, Member, Message, State};
use almondpath::peer::{self, Handle, Handler, Tokens};
use async_trait::async_trait;
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::harness::{Cluster, eventually, free_address};
use crate::streaming::Streaming;

/// A node that stores copies and implements no method newer than `progress`.
struct OldNode {
    member: Member,
    probes: AtomicU32,
    /// Payload of the last `hold` call.
    held: Mutex<Option<Value>>,
    /// Number of chunks and phase of each copy.
    copies: Mutex<HashMap<String, (u64, Value)>>,
}

impl OldNode {
    fn message(&self) -> Message {
        Message {
            header: Header {
                protocol: 1,
                format: 1,
                incarnation: self.member.incarnation,
                config: None,
                control_end: Offset(0),
                weight: 1,
                draining: false,
                joining: false,
                digest: 0,
                demand: Vec::new(),
            },
            members: vec![self.member.clone()],
            notices: Vec::new(),
            loads: Vec::new(),
        }
    }

    /// Returns the JSON form of this node as an owner of responses.
    fn owner(&self) -> Value {
        json!({
            "name": self.member.name,
            "incarnation": self.member.incarnation,
            "domain": self.member.domain,
            "peer": self.member.peer,
            "listen": self.member.listen,
        })
    }

    fn store(&self, progress: &Value) -> u64 {
        let id = progress["id"].as_str().expect("an id").to_owned();
        let texts = progress["texts"].as_array().expect("texts").len() as u64;
        let length = progress["offset"].as_u64().expect("an offset") + texts;
        let mut copies = self.copies.lock().expect("copies lock");
        copies.insert(id, (length, progress["phase"].clone()));
        length
    }
}

#[async_trait]
impl Handler for OldNode {
    async fn probe(&self, _: SocketAddr, _: Message) -> Result<Message, Error> {
        self.probes.fetch_add(1, Ordering::SeqCst);
        Ok(self.message())
    }

    async fn hold(&self, payload: Bytes) -> Result<Bytes, Error> {
        let hold: Value = serde_json::from_slice(&payload).expect("JSON");
        let length = self.store(&hold["snapshot"]["progress"]);
        *self.held.lock().expect("held lock") = Some(hold);
        Ok(length.to_string().into())
    }

    async fn progress(&self, payload: Bytes) -> Result<Bytes, Error> {
        let batch: Value = serde_json::from_slice(&payload).expect("JSON");
        let items = batch["items"].as_array().expect("items").iter();
        let receipts: Vec<_> = items
            .map(|item| json!({ "stored": self.store(item) }))
            .collect();
        Ok(json!(receipts).to_string().into())
    }
}

fn start() -> (Arc<OldNode>, Handle) {
    let old_node = Arc::new(OldNode {
        member: Member {
            name: "earlier".into(),
            domain: "b".into(),
            peer: free_address(),
            listen: free_address(),
            incarnation: 7,
            version: 0,
            state: State::Alive,
        },
        probes: AtomicU32::new(0),
        held: Mutex::default(),
        copies: Mutex::default(),
    });
    let (_, tokens) = watch::channel(Arc::new(Tokens::default()));
    let handler: Arc<dyn Handler> = Arc::clone(&old_node) as _;
    let token = CancellationToken::new();
    let handle = peer::spawn(old_node.member.peer, handler, Millis(500), tokens, token);
    (old_node, handle.expect("a free port"))
}

/// Guards against copies that stop at the last batch before a restart, because the owner and the
/// node with the copy run different releases.
#[tokio::test(flavor = "multi_thread")]
async fn copies_are_updated_between_releases() {
    const TOKENS: usize = 30;
    let cluster = Cluster::start(1, 1, 0).await;
    let node = &cluster.nodes[0];
    let (old_node, handle) = start();
    let joined = handle.probe(node.peer, old_node.message()).await;
    joined.expect("the node responds");
    eventually("the node probes the old node", async || {
        old_node.probes.load(Ordering::SeqCst) > 0
    })
    .await;

    let response = Streaming::start(cluster.client(&[0]), "to an earlier node", TOKENS);
    response.assert_complete("to an earlier node").await;
    eventually("the copy is complete", async || {
        let copies = old_node.copies.lock().expect("copies lock");
        copies
            .values()
            .any(|copy| *copy == (TOKENS as u64, json!("done")))
    })
    .await;
    let fallbacks = cluster.metric(&[0], "almondpath_progress_fallbacks_total");
    assert!(fallbacks.await > 0.0);
    assert_eq!(
        cluster.metric(&[0], "almondpath_backups_lost_total").await,
        0.0
    );

    let hold = old_node.held.lock().expect("held lock").clone();
    let mut hold = hold.expect("a copy");
    let id = Uuid::new_v4();
    hold["owner"] = old_node.owner();
    hold["snapshot"]["work"]["id"] = json!(id);
    let mut progress = json!({
        "id": id, "runs": [], "offset": 0, "texts": [], "source": null, "phase": "running",
    });
    hold["snapshot"]["progress"] = progress.clone();
    let stored: u32 = handle.hold(node.peer, &hold).await.expect("a copy");
    assert_eq!(stored, 0);
    progress["runs"] = json!([{ "attempt": 1, "start": 0 }]);
    progress["texts"] = json!(["a", "b"]);
    let batch = json!({ "owner": old_node.owner(), "items": [progress] });
    let receipts: Value = handle.progress(node.peer, &batch).await.expect("receipts");
    assert_eq!(receipts, json!([{ "stored": 2 }]));
}
