//! Polls the platform's host list and notices, and the load reports of endpoints.
//!
//! At the design size of 370 nodes, a node can't read everything within 2 KB/s: one poll of a load
//! report takes about 80 bytes out and 220 in, and a host list of 970 hosts 155 KB. Three schemes
//! for the load reports were considered: every node polls every endpoint (600 polls, 180 KB/s);
//! every node polls a fixed part of the endpoints and uses only those (loses the cached prefixes on
//! the others); two nodes poll each endpoint, and probes relay the reports. The last one is used.
//! At 370 nodes and 600 endpoints, it costs each node at most 3.2 polls a second, limited to 2 by
//! [`POLLS_PER_SECOND`] and [`MAX_POLL_INTERVAL`], thus 160 bytes/s out and 440 in, and 160 bytes/s
//! of relayed reports. With 8 nodes and 13 endpoints, each node makes 4 polls a second (320 bytes/s
//! out, 880 in), and each endpoint is polled about 2.5 times a second.
//!
//! Every node reads the host list and the notices at random intervals, so that all nodes together
//! read each of them about four times a second, whatever their number. A node that sees a reclaim
//! signal relays it at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use slog::info;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::endpoint::{Key, Load, Table};
use crate::membership::{self, Notice, short_hash};
use crate::provider::{Cloud as _, HostList as _};

use super::Node;

/// Nodes that poll the load report of an endpoint. With two, the report is still polled when one of
/// them dies, until the other nodes detect it.
const POLLERS_PER_ENDPOINT: usize = 2;

/// Polls of load reports per second and node, as far as [`MAX_POLL_INTERVAL`] allows, in clusters
/// of up to [`SMALL_CLUSTER_NODES`] nodes and in larger ones.
const SMALL_CLUSTER_POLLS_PER_SECOND: u64 = 4;
const POLLS_PER_SECOND: u64 = 2;

/// Longest time between two polls of an endpoint. A report may be the first signal that an endpoint
/// is leaving, which has to reach all nodes within 3 s.
const MAX_POLL_INTERVAL: Millis = Millis(1_500);

/// Shortest time between two polls of an endpoint.
const MIN_POLL_INTERVAL: Millis = Millis(500);

/// Time between two checks for endpoints that are due for a poll.
const CHECK_INTERVAL: Millis = Millis(100);

/// Maximum number of endpoints per check that are polled although other nodes are responsible for
/// them, because their process is not known here.
const MAX_UNKNOWN_POLLS: usize = 2;

/// Reads per second of the host list, and of the notices, by all nodes together.
const READS_PER_SECOND: u64 = 4;

/// Shortest time between two reads of the platform by one node.
const MIN_READ_INTERVAL: Millis = Millis(500);

/// Maximum bytes per second of host lists that a node reads.
const LIST_BYTES_PER_SECOND: u64 = 1_024;

/// Estimated bytes of one host in the list.
const HOST_BYTES: u64 = 160;

/// Maximum number of nodes with which a cluster counts as small: the load reports of all endpoints
/// are relayed, and polled more often.
const SMALL_CLUSTER_NODES: usize = 16;

/// Reads the platform's host list until `token` is cancelled.
pub(super) async fn hosts(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        let mut bytes = 0;
        match node.cluster.platform.hosts().await {
            Ok(hosts) => {
                bytes = hosts.len() as u64 * HOST_BYTES;
                let notices = {
                    let mut endpoints = node.endpoints.lock().expect("endpoints lock");
                    endpoints.update(hosts)
                };
                node.refresh_policy();
                node.dispatch_due();
                node.relay_notices(notices);
                node.choose_relayed_hosts();
            }
            Err(_) => count_failure("hosts"),
        }
        node.wait_until_next_read(&token, bytes).await;
    }
    Ok(())
}

/// Reads the cloud API's reclaim notices until `token` is cancelled.
pub(super) async fn notices(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    while !token.is_cancelled() {
        match node.cluster.platform.notices().await {
            Ok(reclaims) => {
                let mut notices = Vec::new();
                for reclaim in reclaims {
                    if reclaim.host == node.settings.name {
                        node.handle_reclaim(reclaim.deadline_ms);
                        continue;
                    }
                    let mut endpoints = node.endpoints.lock().expect("endpoints lock");
                    notices.extend(endpoints.mark_leaving(&reclaim.host));
                }
                node.relay_notices(notices);
            }
            Err(_) => count_failure("notices"),
        }
        node.wait_until_next_read(&token, 0).await;
    }
    Ok(())
}

/// Polls the load reports of the endpoints for which this node is responsible.
pub(super) async fn load(node: Arc<Node>, token: CancellationToken) -> eyre::Result<()> {
    let mut due: HashMap<Key, Millis> = HashMap::new();
    while !token.is_cancelled() {
        let now = node.clock.now();
        for (key, address) in node.due_polls(&mut due, now) {
            let node = Arc::clone(&node);
            tokio::spawn(async move { node.poll(key, address).await });
        }
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(CHECK_INTERVAL.into()) => {}
        }
    }
    Ok(())
}

fn count_failure(what: &'static str) {
    metrics::counter!("almondpath_platform_read_failures_total", "what" => what).increment(1);
}

/// Returns the nodes that poll an endpoint, by rendezvous hashing: the first one of its failure
/// domain, if there is one, and the first of the others.
fn pollers<'a>(host: &str, domain: &str, nodes: &'a [(Arc<str>, Arc<str>)]) -> Vec<&'a Arc<str>> {
    let mut ranked: Vec<_> = nodes
        .iter()
        .map(|(name, of)| {
            let hash = xxh3_64_with_seed(name.as_bytes(), u64::from(short_hash(host)));
            (hash, name, &**of == domain)
        })
        .collect();
    ranked.sort_unstable_by_key(|(hash, name, _)| (std::cmp::Reverse(*hash), *name));
    let local = ranked.iter().position(|(_, _, local)| *local);
    if let Some(local) = local {
        let first = ranked.remove(local);
        ranked.insert(0, first);
    }
    ranked
        .iter()
        .take(POLLERS_PER_ENDPOINT)
        .map(|(_, name, _)| *name)
        .collect()
}

/// Endpoints that are leaving.
impl Node {
    /// Relays notices to the other nodes.
    fn relay_notices(self: &Arc<Self>, notices: Vec<Notice>) {
        if notices.is_empty() {
            return;
        }
        {
            let mut view = self.cluster.view();
            for notice in notices {
                info!(self.log, "endpoint is leaving"; "host" => notice.host.to_string());
                view.add_notice(self.clock.now(), notice);
            }
        }
        self.relay();
    }

    /// Starts a handover because this host will be reclaimed.
    fn handle_reclaim(self: &Arc<Self>, remaining: Millis) {
        if !self.cluster.is_leaving() {
            info!(self.log, "this host will be reclaimed"; "left" => remaining.0);
            self.announce_departure();
        }
        // Has no effect when the same notice is read again.
        self.request_handover(remaining);
    }
}

/// Load reports.
impl Node {
    /// Returns the endpoints to poll now, and updates when they are due again.
    fn due_polls(&self, due: &mut HashMap<Key, Millis>, now: Millis) -> Vec<(Key, SocketAddr)> {
        let nodes = self.available_nodes();
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        due.retain(|key, _| endpoints.get(*key).is_some());
        let own = &self.settings.name;
        let (mine, others): (Vec<_>, Vec<_>) = endpoints
            .iter()
            .partition(|(_, e)| pollers(&e.host.host, &e.host.domain, &nodes).contains(&own));
        let per_second = if nodes.len() <= SMALL_CLUSTER_NODES {
            SMALL_CLUSTER_POLLS_PER_SECOND
        } else {
            POLLS_PER_SECOND
        };
        let unclamped = Millis(mine.len() as u64 * 1_000 / per_second);
        let interval = unclamped.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
        let mut targets = Vec::new();
        for (key, endpoint) in mine {
            // The first poll is at a random time, which spreads out the polls of both pollers and
            // of many endpoints.
            let at = due.entry(key).or_insert_with(|| {
                let first = if endpoint.load.incarnation == 0 {
                    0
                } else {
                    interval.0
                };
                now + Millis(rand::rng().random_range(0..=first))
            });
            if *at <= now {
                *at = now + interval;
                targets.push((key, endpoint.host.address));
            }
        }
        targets.extend(self.due_unknown(&others, due, now, interval));
        targets
    }

    /// Returns a few endpoints whose process is known to other nodes but not to this one.
    fn due_unknown(
        &self,
        others: &[(Key, &crate::endpoint::Endpoint)],
        due: &mut HashMap<Key, Millis>,
        now: Millis,
        interval: Millis,
    ) -> Vec<(Key, SocketAddr)> {
        let mut unknown = self
            .cluster
            .unknown_endpoints
            .lock()
            .expect("unknown endpoints lock");
        let mut targets = Vec::new();
        for (key, endpoint) in others {
            if targets.len() == MAX_UNKNOWN_POLLS {
                break;
            }
            let hash = short_hash(&endpoint.host.host);
            let needed = endpoint.load.incarnation == 0 || unknown.contains_key(&hash);
            if needed && due.get(key).is_none_or(|at| *at <= now) {
                unknown.remove(&hash);
                due.insert(*key, now + interval);
                targets.push((*key, endpoint.host.address));
            }
        }
        if others.is_empty() {
            unknown.clear();
        }
        targets
    }

    /// Polls the load report of an endpoint, and relays what changed.
    async fn poll(self: Arc<Self>, key: Key, address: SocketAddr) {
        let load = self.http.get_json::<Load>(address, "/load").await;
        let Ok(load) = load else {
            metrics::counter!("almondpath_load_poll_failures_total").increment(1);
            return;
        };
        let (notice, changed_load) = {
            let mut endpoints = self.endpoints.lock().expect("endpoints lock");
            let changed_load = changed_load(&endpoints, key, &load);
            (
                endpoints.apply_load(key, load, self.clock.now()),
                changed_load,
            )
        };
        if let Some(load) = changed_load {
            self.cluster.view().add_load(load);
        }
        self.relay_notices(notice.into_iter().collect());
    }

    /// Chooses the endpoints whose load reports are relayed.
    fn choose_relayed_hosts(&self) {
        let mut view = self.cluster.view();
        let all = view.live_count() <= SMALL_CLUSTER_NODES;
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        let hosts: HashSet<u32> = endpoints
            .iter()
            .filter(|(_, e)| all || e.host.domain == self.settings.failure_domain)
            .map(|(_, e)| short_hash(&e.host.host))
            .collect();
        view.set_relayed_hosts(hosts);
    }

    /// Returns the names and failure domains of the available nodes, with this one first.
    fn available_nodes(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let view = self.cluster.view();
        let own = view.local();
        let mut nodes = vec![(Arc::clone(&own.name), Arc::clone(&own.domain))];
        nodes.extend(view.available().map(|peer| {
            let member = &peer.member;
            (Arc::clone(&member.name), Arc::clone(&member.domain))
        }));
        nodes
    }

    /// Waits until the next read of a document of `bytes` bytes.
    async fn wait_until_next_read(&self, token: &CancellationToken, bytes: u64) {
        let nodes = self.cluster.view().live_count() as u64;
        let shared = nodes * 1_000 / READS_PER_SECOND;
        // A single node reads at least once a second, whatever the size.
        let sized = (bytes * 1_000 / LIST_BYTES_PER_SECOND).min(nodes * 1_000);
        let interval = shared.max(sized).max(MIN_READ_INTERVAL.0);
        let jittered = rand::rng().random_range(interval / 2..=interval * 3 / 2);
        tokio::select! {
            () = token.cancelled() => {}
            () = tokio::time::sleep(Millis(jittered).into()) => {}
        }
    }
}

/// Returns the part of a load report that other nodes need, if it changed.
fn changed_load(endpoints: &Table, key: Key, load: &Load) -> Option<membership::Load> {
    let endpoint = endpoints.get(key)?;
    let known = &endpoint.load;
    let same = (known.incarnation, known.running, known.queued)
        == (load.incarnation, load.running, load.queued);
    if same {
        return None;
    }
    let clamp = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
    Some(membership::Load {
        host: short_hash(&endpoint.host.host),
        incarnation: load.incarnation.to_le_bytes()[0],
        seq: load.seq.to_le_bytes()[0],
        running: clamp(load.running),
        queued: clamp(load.queued),
    })
}
