use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use slog::info;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::clock::Millis;
use crate::error::Error;
use crate::node::{Node, driver};
use crate::peer::{self, Context, Item, Receipt};
use crate::stream::{self, Entry, Phase, Progress, Replica};

use super::message::{Batch, Find, Found, Handover, Hold, decode, encode};

/// Time between two looks at the owners of copies.
const WATCH_INTERVAL: Millis = Millis(200);

/// Time without progress or heartbeat, which come every 500 ms, after which an owner is asked.
const OWNER_SILENCE: Millis = Millis(1_500);

/// Time within which an owner that was silent has to answer.
const OWNER_BOUND: Millis = Millis(1_000);

/// Candidates of each failure domain that are asked for a request.
const FINDERS: usize = 2;

/// Stores a copy, and returns the number of its chunks.
pub(in crate::node) fn on_hold(node: &Node, payload: &Bytes) -> Result<Bytes, Error> {
    let Hold { owner, snapshot } = decode(payload)?;
    let now = node.clock.now();
    node.backup_owners.heard(&owner, now);
    let entry = node.streams.insert_backup(snapshot, owner, now)?;
    encode(&entry.len())
}

/// Adds progress to copies, and returns a receipt for each item.
pub(in crate::node) fn on_append(node: &Node, batch: peer::Batch) -> Vec<Receipt> {
    let now = node.clock.now();
    node.backup_owners.heard_from(batch.owner, now);
    let items = batch.items.into_iter();
    items
        .map(|item| append(node, batch.owner, item, now))
        .collect()
}

fn append(node: &Node, owner: u64, item: Item, now: Millis) -> Receipt {
    let Some(entry) = node.streams.get(item.id) else {
        return Receipt::Unknown;
    };
    if entry.is_served() {
        return Receipt::Served;
    }
    let Some(owner) = entry.owner().filter(|known| known.incarnation == owner) else {
        return Receipt::Unknown;
    };
    let copy = entry.progress_since(entry.len());
    let attempt = copy.runs.last().map_or(0, |run| run.attempt);
    let context = match (item.context, item.attempt.cmp(&attempt)) {
        (Some(context), _) => context,
        // The owner leaves out what the copy has of the same attempt.
        (None, Ordering::Equal) => Context {
            runs: copy.runs,
            source: copy.source,
            phase: copy.phase,
        },
        // A batch that was late.
        (None, Ordering::Less) => return Receipt::Stored(entry.len()),
        (None, Ordering::Greater) => return Receipt::Unknown,
    };
    let progress = Progress {
        id: item.id,
        runs: context.runs,
        offset: item.offset,
        texts: item.texts,
        source: context.source,
        phase: context.phase,
    };
    if entry.apply(&progress, &owner, now) {
        Receipt::Stored(entry.len())
    } else {
        Receipt::Unknown
    }
}

/// Adds progress to copies, for owners of releases that do not send [`on_append`] its batches.
pub(in crate::node) fn on_progress(node: &Node, payload: &Bytes) -> Result<Bytes, Error> {
    let Batch { owner, items } = decode(payload)?;
    let now = node.clock.now();
    node.backup_owners.heard(&owner, now);
    let receipts: Vec<Receipt> = items
        .iter()
        .map(|item| match node.streams.get(item.id) {
            Some(entry) if entry.is_served() => Receipt::Served,
            Some(entry) if entry.owner().as_ref() != Some(&owner) => Receipt::Unknown,
            Some(entry) if entry.apply(item, &owner, now) => Receipt::Stored(entry.len()),
            _ => Receipt::Unknown,
        })
        .collect();
    encode(&receipts)
}

/// Takes streams over, and returns the ids of those that this node serves now.
pub(in crate::node) fn on_handover(node: &Arc<Node>, payload: &Bytes) -> Result<Bytes, Error> {
    let Handover { owner, snapshots } = decode(payload)?;
    let mut taken = Vec::new();
    for snapshot in snapshots {
        let id = snapshot.request.id;
        if node.streams.get(id).is_some_and(|e| e.is_served()) {
            // The answer to the first delivery of this message was lost.
            taken.push(id);
        } else if let Ok(entry) =
            node.streams
                .insert_backup(snapshot, owner.clone(), node.clock.now())
        {
            node.take_over(&entry, "handover");
            taken.push(id);
        }
    }
    encode(&taken)
}

/// Says where the responses to requests are.
pub(in crate::node) fn on_find(node: &Node, payload: &Bytes) -> Result<Bytes, Error> {
    let Find { ids, account } = decode(payload)?;
    let found: Vec<Option<Found>> = ids
        .iter()
        .map(|id| {
            let entry = node.streams.get(*id)?;
            let readable = account
                .as_ref()
                .is_none_or(|a| *a == entry.request().account);
            let serves = entry.is_served();
            (readable && (serves || entry.owner().is_some())).then_some(Found {
                address: node.settings.listen,
                serves,
            })
        })
        .collect();
    encode(&found)
}

/// When the owners of this node's copies were last heard.
#[derive(Debug, Default)]
pub(in crate::node) struct Owners {
    heard: std::sync::Mutex<HashMap<Replica, Millis>>,
}

impl Owners {
    pub(super) fn heard(&self, owner: &Replica, now: Millis) {
        let mut heard = self.heard.lock().expect("owners lock");
        heard.insert(owner.clone(), now);
    }

    /// As [`Owners::heard`] for the owner with this incarnation, if there are copies of it.
    fn heard_from(&self, owner: u64, now: Millis) {
        let mut heard = self.heard.lock().expect("owners lock");
        let times = heard
            .iter_mut()
            .filter(|(known, _)| known.incarnation == owner);
        times.for_each(|(_, at)| *at = now);
    }

    fn is_silent(&self, owner: &Replica, now: Millis) -> bool {
        let heard = self.heard.lock().expect("owners lock");
        heard.get(owner).is_none_or(|at| now - *at >= OWNER_SILENCE)
    }

    fn retain(&self, owners: &HashMap<Replica, Vec<Arc<Entry>>>) {
        let mut heard = self.heard.lock().expect("owners lock");
        heard.retain(|owner, _| owners.contains_key(owner));
    }
}

/// Takes over the copies whose owners are gone, until `token` is cancelled.
pub(in crate::node) async fn watch_owners(
    node: Arc<Node>,
    token: CancellationToken,
) -> eyre::Result<()> {
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = tokio::time::sleep(WATCH_INTERVAL.into()) => {}
        }
        let mut owners: HashMap<Replica, Vec<Arc<Entry>>> = HashMap::new();
        for entry in node.streams.all() {
            if entry.phase() == Phase::Running
                && let Some(owner) = entry.owner()
            {
                owners.entry(owner).or_default().push(entry);
            }
        }
        node.backup_owners.retain(&owners);
        owners.retain(|owner, _| node.backup_owners.is_silent(owner, node.clock.now()));
        let checks = owners
            .into_iter()
            .map(|(owner, entries)| node.check_owner(owner, entries));
        futures::future::join_all(checks).await;
    }
}

/// Takeover.
impl Node {
    /// Asks a silent owner whether it still serves, and takes over what it does not.
    pub(super) async fn check_owner(self: &Arc<Self>, owner: Replica, entries: Vec<Arc<Entry>>) {
        let ids = entries.iter().map(|entry| entry.request().id).collect();
        let answers = self.ask(&owner, ids, None).await;
        if answers.is_some() {
            self.backup_owners.heard(&owner, self.clock.now());
        }
        for (index, entry) in entries.iter().enumerate() {
            let found = answers.as_ref().and_then(|all| *all.get(index)?);
            if found.is_some_and(|found| found.serves) {
                continue;
            }
            if !self.is_served_elsewhere(entry, &owner).await {
                self.take_over(entry, "silent");
            } else if entry.owner().as_ref() == Some(&owner) {
                self.streams.remove(entry.request().id);
            }
        }
    }

    /// Returns whether a node other than `owner` has taken the response over already.
    async fn is_served_elsewhere(self: &Arc<Self>, entry: &Entry, owner: &Replica) -> bool {
        let work = entry.request();
        let others = self.finders(work.id).into_iter();
        let others = others.filter(|node| node.peer != owner.peer);
        let asks = others.map(|node| async move { self.ask(&node, vec![work.id], None).await });
        let answers = futures::future::join_all(asks).await;
        let mut found = answers.into_iter().flatten().flatten().flatten();
        found.any(|found| found.serves)
    }

    /// Makes this node serve a response of which it has a copy.
    pub(super) fn take_over(self: &Arc<Self>, entry: &Arc<Entry>, why: &'static str) {
        if !entry.take_over(rand::random(), self.clock.now()) {
            return;
        }
        metrics::counter!("almondpath_streams_taken_over_total", "why" => why).increment(1);
        info!(self.log, "stream taken over"; "request" => entry.request().id.to_string(), "why" => why);
        if entry.phase() != Phase::Running {
            return;
        }
        driver::spawn(self, Arc::clone(entry), None);
        self.place_later(Arc::clone(entry));
    }

    /// Returns the nodes that may know a request.
    pub(super) fn finders(&self, id: Uuid) -> Vec<Replica> {
        stream::lookup_candidates(id, FINDERS, &self.neighbours())
    }

    /// Asks a node for requests; none when it does not answer.
    pub(super) async fn ask(
        &self,
        node: &Replica,
        ids: Vec<Uuid>,
        account: Option<Arc<str>>,
    ) -> Option<Vec<Option<Found>>> {
        let find = Find { ids, account };
        let peers = self.peers()?;
        let answer = timeout(OWNER_BOUND.into(), peers.find(node.peer, &find));
        answer.await.ok()?.ok()
    }
}
