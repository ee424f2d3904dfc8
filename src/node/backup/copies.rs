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

/// Time between two checks of the owners of the copies stored here.
const CHECK_INTERVAL: Millis = Millis(200);

/// Time without progress or a heartbeat from an owner, which sends heartbeats every 500 ms, after
/// which the owner is asked whether it still serves its responses.
const HEARTBEAT_TIMEOUT: Millis = Millis(1_500);

/// Timeout of a `find` RPC.
const FIND_TIMEOUT: Millis = Millis(1_000);

/// Nodes per failure domain that are asked for a request whose owner is unknown.
const LOOKUP_NODES_PER_DOMAIN: usize = 2;

/// Handles a `hold` RPC: stores a copy and returns the number of its chunks.
pub(in crate::node) fn on_hold(node: &Node, payload: &Bytes) -> Result<Bytes, Error> {
    let Hold { owner, snapshot } = decode(payload)?;
    let now = node.clock.now();
    node.backup_owners.record_contact(&owner, now);
    let entry = node.streams.insert_backup(snapshot, owner, now)?;
    encode(&entry.len())
}

/// Handles an `append` RPC: adds progress to copies and returns a receipt for each item.
pub(in crate::node) fn on_append(node: &Node, batch: peer::Batch) -> Vec<Receipt> {
    let now = node.clock.now();
    node.backup_owners.record_process_contact(batch.owner, now);
    let items = batch.items.into_iter();
    items
        .map(|item| append_item(node, batch.owner, item, now))
        .collect()
}

/// Adds progress to the copy of a response; `owner` is the incarnation of the sender.
fn append_item(node: &Node, owner: u64, item: Item, now: Millis) -> Receipt {
    let Some(entry) = node.streams.get(item.id) else {
        return Receipt::Unknown;
    };
    if entry.is_served() {
        return Receipt::Served;
    }
    let Some(owner) = entry.owner().filter(|known| known.incarnation == owner) else {
        return Receipt::Unknown;
    };
    let stored = entry.progress_since(entry.len());
    let attempt = stored.runs.last().map_or(0, |run| run.attempt);
    let context = match (item.context, item.attempt.cmp(&attempt)) {
        (Some(context), _) => context,
        // The owner omits the context when the copy already has it for this attempt.
        (None, Ordering::Equal) => Context {
            runs: stored.runs,
            source: stored.source,
            phase: stored.phase,
        },
        // The batch was delayed, and the copy has a later attempt already.
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

/// Handles a `progress` RPC, which owners of earlier releases send instead of `append`.
pub(in crate::node) fn on_progress(node: &Node, payload: &Bytes) -> Result<Bytes, Error> {
    let Batch { owner, items } = decode(payload)?;
    let now = node.clock.now();
    node.backup_owners.record_contact(&owner, now);
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

/// Handles a `handover` RPC: takes over responses and returns the ids of those that this node now
/// serves.
pub(in crate::node) fn on_handover(node: &Arc<Node>, payload: &Bytes) -> Result<Bytes, Error> {
    let Handover { owner, snapshots } = decode(payload)?;
    let mut taken_over = Vec::new();
    for snapshot in snapshots {
        let id = snapshot.request.id;
        if node.streams.get(id).is_some_and(|e| e.is_served()) {
            // The response to the first delivery of this message was lost.
            taken_over.push(id);
        } else if let Ok(entry) =
            node.streams
                .insert_backup(snapshot, owner.clone(), node.clock.now())
        {
            node.take_over(&entry, "handover");
            taken_over.push(id);
        }
    }
    encode(&taken_over)
}

/// Handles a `find` RPC: returns where the responses to requests can be read.
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

/// Times at which the owners of the copies stored here were last heard from.
#[derive(Debug, Default)]
pub(in crate::node) struct Owners {
    last_contact: std::sync::Mutex<HashMap<Replica, Millis>>,
}

impl Owners {
    /// Records that a message of an owner arrived.
    pub(super) fn record_contact(&self, owner: &Replica, now: Millis) {
        let mut last_contact = self.last_contact.lock().expect("owners lock");
        last_contact.insert(owner.clone(), now);
    }

    /// Like [`Owners::record_contact`], for the known owner with this incarnation, if any.
    fn record_process_contact(&self, incarnation: u64, now: Millis) {
        let mut last_contact = self.last_contact.lock().expect("owners lock");
        let times = last_contact
            .iter_mut()
            .filter(|(owner, _)| owner.incarnation == incarnation);
        times.for_each(|(_, at)| *at = now);
    }

    /// Returns whether nothing has been heard from an owner for [`HEARTBEAT_TIMEOUT`].
    fn is_silent(&self, owner: &Replica, now: Millis) -> bool {
        let last_contact = self.last_contact.lock().expect("owners lock");
        last_contact
            .get(owner)
            .is_none_or(|at| now - *at >= HEARTBEAT_TIMEOUT)
    }

    /// Removes all owners that are not in `owners`.
    fn retain(&self, owners: &HashMap<Replica, Vec<Arc<Entry>>>) {
        let mut last_contact = self.last_contact.lock().expect("owners lock");
        last_contact.retain(|owner, _| owners.contains_key(owner));
    }
}

/// Takes over the responses whose owners no longer serve them, until `token` is cancelled.
pub(in crate::node) async fn watch_owners(
    node: Arc<Node>,
    token: CancellationToken,
) -> eyre::Result<()> {
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = tokio::time::sleep(CHECK_INTERVAL.into()) => {}
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
    /// Asks a silent owner which responses it still serves, and takes over the others.
    ///
    /// A response that a third node already serves is not taken over; its copy here is removed.
    pub(super) async fn check_owner(self: &Arc<Self>, owner: Replica, entries: Vec<Arc<Entry>>) {
        let ids = entries.iter().map(|entry| entry.request().id).collect();
        let results = self.find_at(&owner, ids, None).await;
        if results.is_some() {
            self.backup_owners.record_contact(&owner, self.clock.now());
        }
        for (index, entry) in entries.iter().enumerate() {
            let found = results.as_ref().and_then(|all| *all.get(index)?);
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

    /// Returns whether a node other than `owner` has already taken over the response.
    async fn is_served_elsewhere(self: &Arc<Self>, entry: &Entry, owner: &Replica) -> bool {
        let request = entry.request();
        let others = self.lookup_nodes(request.id).into_iter();
        let others = others.filter(|node| node.peer != owner.peer);
        let lookups =
            others.map(|node| async move { self.find_at(&node, vec![request.id], None).await });
        let results = futures::future::join_all(lookups).await;
        let mut found = results.into_iter().flatten().flatten().flatten();
        found.any(|found| found.serves)
    }

    /// Makes this node the owner of a response that it stores a copy of.
    ///
    /// `why` is a label of the takeover metric and a field of the log line.
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
        self.store_copy_in_background(Arc::clone(entry));
    }

    /// Returns the nodes to ask for a request whose owner is unknown.
    pub(super) fn lookup_nodes(&self, id: Uuid) -> Vec<Replica> {
        stream::lookup_candidates(id, LOOKUP_NODES_PER_DOMAIN, &self.available_replicas())
    }

    /// Asks a node where the responses to requests are; returns `None` if it does not respond.
    ///
    /// With `account`, only requests of this client account are found.
    pub(super) async fn find_at(
        &self,
        node: &Replica,
        ids: Vec<Uuid>,
        account: Option<Arc<str>>,
    ) -> Option<Vec<Option<Found>>> {
        let find = Find { ids, account };
        let handle = self.peer_handle()?;
        let response = timeout(FIND_TIMEOUT.into(), handle.find(node.peer, &find));
        response.await.ok()?.ok()
    }
}
