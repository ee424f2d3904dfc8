use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slog::{info, warn};
use tokio::time::timeout;
use uuid::Uuid;

use crate::clock::Millis;
use crate::node::{Node, driver};
use crate::stream::{self, Entry, Phase, Replica, Role};

use super::message::Handover;

/// Time within which a node has to take streams over.
const HANDOVER_BOUND: Millis = Millis(1_500);

/// Most streams in one message.
const BATCH: usize = 128;

/// Nodes that are asked in turn to take a stream over.
const ROUNDS: usize = 3;

impl Node {
    /// Hands all running responses over to other nodes, and returns how many stay here.
    ///
    /// The engines go on generating; the other nodes attach to the same streams, so that nothing
    /// is computed again.
    pub(in crate::node) async fn hand_over(self: &Arc<Self>) -> usize {
        let mut left = self.running_responses();
        info!(self.log, "handing over"; "streams" => left.len());
        for entry in &left {
            entry.set_released(true);
        }
        for round in 0..ROUNDS {
            let targets = self.targets(&left, round);
            let sends = targets
                .into_values()
                .map(|(target, entries)| self.hand_to(target, entries));
            futures::future::join_all(sends).await;
            left.retain(|entry| entry.phase() == Phase::Running);
        }
        for entry in &left {
            warn!(self.log, "no node takes a stream over"; "request" => entry.request().id.to_string());
            entry.set_released(false);
            driver::spawn(self, Arc::clone(entry), None);
        }
        left.len()
    }

    /// Returns the responses that this node generates.
    pub(in crate::node) fn running_responses(&self) -> Vec<Arc<Entry>> {
        let mut all = self.streams.all();
        all.retain(|entry| entry.role() == Role::Owner && entry.phase() == Phase::Running);
        all
    }

    /// Groups streams by the node that is asked in this round: first the one with the copy.
    fn targets(
        &self,
        entries: &[Arc<Entry>],
        round: usize,
    ) -> HashMap<SocketAddr, (Replica, Vec<Arc<Entry>>)> {
        let neighbours = self.neighbours();
        let mut targets: HashMap<SocketAddr, (Replica, Vec<Arc<Entry>>)> = HashMap::new();
        for entry in entries {
            let id = entry.request().id;
            let mut order =
                stream::backup_candidates(id, &self.settings.failure_domain, &neighbours);
            // Without another failure domain, a node of the same one is better than none.
            order.extend(stream::backup_candidates(id, "", &neighbours));
            let copy = self.replication.backup(id).filter(|_| round == 0);
            let Some(target) = copy.or_else(|| order.into_iter().nth(round)) else {
                continue;
            };
            let group = targets
                .entry(target.peer)
                .or_insert_with(|| (target, Vec::new()));
            group.1.push(Arc::clone(entry));
        }
        targets
    }

    async fn hand_to(self: &Arc<Self>, target: Replica, entries: Vec<Arc<Entry>>) {
        let Some(peers) = self.peers() else {
            return;
        };
        for part in entries.chunks(BATCH) {
            let handover = Handover {
                owner: self.own(),
                snapshots: part.iter().map(|entry| entry.snapshot()).collect(),
            };
            let answer = peers.handover::<_, Vec<Uuid>>(target.peer, &handover);
            let Ok(Ok(taken)) = timeout(HANDOVER_BOUND.into(), answer).await else {
                return;
            };
            for entry in part {
                if taken.contains(&entry.request().id) {
                    self.replication.forget(entry.request().id);
                    entry.finish(Phase::Moved(vec![target.listen]), self.clock.now());
                }
            }
        }
    }
}
