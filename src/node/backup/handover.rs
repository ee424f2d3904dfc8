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

/// Timeout of a `handover` RPC.
const HANDOVER_TIMEOUT: Millis = Millis(1_500);

/// Maximum number of responses in one `handover` message.
const MAX_HANDOVER_RESPONSES: usize = 128;

/// Maximum number of nodes that are asked, one after the other, to take over a response.
const MAX_HANDOVER_ROUNDS: usize = 3;

impl Node {
    /// Hands over all running responses to other nodes, and returns how many remain at this one.
    ///
    /// The engines continue to generate. The other nodes attach to the same engine streams, so that
    /// no token is computed again.
    pub(in crate::node) async fn hand_over(self: &Arc<Self>) -> usize {
        let mut remaining = self.running_responses();
        info!(self.log, "handing over streams"; "streams" => remaining.len());
        for entry in &remaining {
            entry.set_released(true);
        }
        for round in 0..MAX_HANDOVER_ROUNDS {
            let targets = self.handover_targets(&remaining, round);
            let sends = targets
                .into_values()
                .map(|(target, entries)| self.send_handover(target, entries));
            futures::future::join_all(sends).await;
            remaining.retain(|entry| entry.phase() == Phase::Running);
        }
        for entry in &remaining {
            warn!(self.log, "no node took over a stream"; "request" => entry.request().id.to_string());
            entry.set_released(false);
            driver::spawn(self, Arc::clone(entry), None);
        }
        remaining.len()
    }

    /// Returns the unfinished responses that this node owns.
    pub(in crate::node) fn running_responses(&self) -> Vec<Arc<Entry>> {
        let mut all = self.streams.all();
        all.retain(|entry| entry.role() == Role::Owner && entry.phase() == Phase::Running);
        all
    }

    /// Groups responses by the node that is asked in this round.
    ///
    /// In the first round, that is the node with the backup copy, if there is one.
    fn handover_targets(
        &self,
        entries: &[Arc<Entry>],
        round: usize,
    ) -> HashMap<SocketAddr, (Replica, Vec<Arc<Entry>>)> {
        let nodes = self.available_replicas();
        let mut targets: HashMap<SocketAddr, (Replica, Vec<Arc<Entry>>)> = HashMap::new();
        for entry in entries {
            let id = entry.request().id;
            let mut candidates =
                stream::backup_candidates(id, &self.settings.failure_domain, &nodes);
            // If no node in another failure domain is available, one in the same domain is better
            // than none.
            candidates.extend(stream::backup_candidates(id, "", &nodes));
            let backup = self.replication.backup(id).filter(|_| round == 0);
            let Some(target) = backup.or_else(|| candidates.into_iter().nth(round)) else {
                continue;
            };
            let group = targets
                .entry(target.peer)
                .or_insert_with(|| (target, Vec::new()));
            group.1.push(Arc::clone(entry));
        }
        targets
    }

    /// Asks `target` to take over responses, and ends here those that it took over.
    ///
    /// Stops at the first message that fails.
    async fn send_handover(self: &Arc<Self>, target: Replica, entries: Vec<Arc<Entry>>) {
        let Some(handle) = self.peer_handle() else {
            return;
        };
        for chunk in entries.chunks(MAX_HANDOVER_RESPONSES) {
            let handover = Handover {
                owner: self.local_replica(),
                snapshots: chunk.iter().map(|entry| entry.snapshot()).collect(),
            };
            let response = handle.handover::<_, Vec<Uuid>>(target.peer, &handover);
            let Ok(Ok(taken_over)) = timeout(HANDOVER_TIMEOUT.into(), response).await else {
                return;
            };
            for entry in chunk {
                if taken_over.contains(&entry.request().id) {
                    self.replication.remove(entry.request().id);
                    entry.finish(Phase::Moved(vec![target.listen]), self.clock.now());
                }
            }
        }
    }
}
