//! Owners of buckets in clusters in which a node has contact with few of the others each second.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::{Consumption, Partition, Reachability};

use crate::gateway_cluster::Network;

/// Time that failure detection is given after an event, twice its timeout in a large cluster.
const SETTLING_MS: u64 = 5_000;

/// Interval at which each owner decides.
const STEP_MS: u64 = 50;

/// Share of the units of a window by which an account may exceed its quota.
const OVERAGE: f64 = 0.1;

/// Window in which the quota applies.
const WINDOW_MS: u64 = 8_000;

/// Share of the nodes that an owner may leave out without a loss.
const MAX_LEFT_OUT: f64 = 0.1;

/// An owner of an account's bucket.
struct Owner {
    node: usize,
    account: Arc<str>,
    partition: Partition,
    /// Time from which it decides because another owner did not respond.
    taken_over_at: Option<u64>,
}

impl Owner {
    fn new(node: usize) -> Self {
        Self {
            node,
            account: "account".into(),
            partition: Partition::default(),
            taken_over_at: None,
        }
    }

    /// Records questions of some nodes.
    fn ask<I>(&mut self, network: &Network, nodes: I)
    where
        I: Iterator<Item = usize>,
    {
        let now = Millis(network.now);
        for node in nodes {
            let name = &network.nodes[node].name;
            self.partition.record_question(&self.account, name, now);
        }
    }

    /// Returns the share of the quota that the owner grants.
    fn share(&mut self, network: &mut Network) -> f64 {
        let now = Millis(network.now);
        if self.taken_over_at.is_some() {
            self.partition.record_takeover(&self.account, now);
        }
        let node = &mut network.nodes[self.node];
        let (nodes, unreachable) = node.roster.count_serving(now);
        let known = Reachability {
            nodes,
            unreachable,
            lost_at: None,
        };
        let usage = Consumption {
            share: 0.9,
            is_reported: true,
        };
        let peers = node.roster.peers(now);
        let counted = self
            .partition
            .reachability(&self.account, usage, known, &peers, now);
        drop(peers);
        if counted.unreachable > unreachable {
            node.selector.record_loss();
        }
        1.0 - counted.unreachable as f64 / counted.nodes as f64
    }
}

/// Returns a cluster in which all nodes know each other and make long rounds.
fn cluster(nodes: usize) -> Network {
    let mut network = Network::new(nodes);
    network.converge(30_000, "start");
    network.run(4_000);
    network
}

/// Guards against an owner that took the bucket over from one that is merely slow, and then grants few of
/// the units for as long as single nodes ask it.
#[test]
fn an_owner_that_took_over_without_a_cut_grants_what_is_due() {
    for nodes in [80, 300] {
        let mut network = cluster(nodes);
        let mut owner = Owner::new(nodes / 2);
        owner.taken_over_at = Some(network.now);
        let started = network.now;
        while network.now < started + 4 * SETTLING_MS {
            network.run(STEP_MS);
            let asking = network.now as usize / STEP_MS as usize % nodes;
            owner.ask(&network, [asking].into_iter());
            let share = owner.share(&mut network);
            let is_settled = network.now >= started + SETTLING_MS;
            let least = 1.0 - MAX_LEFT_OUT;
            let after = network.now - started;
            assert!(
                !is_settled || share >= least,
                "{nodes} nodes: {share} after {after} ms"
            );
        }
    }
}

/// Guards against an owner that counts all nodes for each request, and against one that takes a bucket
/// over by an earlier count.
#[test]
fn a_count_of_the_nodes_serves_for_a_moment() {
    let account: Arc<str> = "account".into();
    let counted = Reachability {
        nodes: 80,
        unreachable: 1,
        lost_at: None,
    };
    let mut partition = Partition::default();
    assert_eq!(partition.recent_count(&account, Millis(0)), None);
    partition.record_count(&account, counted, Millis(100));
    assert_eq!(partition.recent_count(&account, Millis(110)), Some(counted));
    assert_eq!(partition.recent_count(&account, Millis(200)), None);
    partition.record_count(&account, counted, Millis(300));
    partition.record_takeover(&account, Millis(301));
    assert_eq!(partition.recent_count(&account, Millis(302)), None);
}

/// Guards against an owner that takes nodes for lost because a burst of requests has ended.
#[test]
fn an_owner_grants_what_is_due_after_a_burst() {
    for nodes in [80, 300] {
        let mut network = cluster(nodes);
        let mut owner = Owner::new(nodes / 2);
        let others = || (0..nodes).filter(|node| *node != nodes / 2);
        for _ in 0..40 {
            network.run(STEP_MS);
            owner.ask(&network, others());
        }
        let ended = network.now;
        while network.now < ended + 2 * SETTLING_MS {
            network.run(STEP_MS);
            let share = owner.share(&mut network);
            let after = network.now - ended;
            let is_settled = after >= SETTLING_MS / 2;
            let least = 1.0 - MAX_LEFT_OUT;
            assert!(
                !is_settled || share >= least,
                "{nodes} nodes: {share} after {after} ms"
            );
        }
    }
}

/// Guards against two owners, one in each part of a cluster that is cut in two, that together grant more
/// than the quota.
#[test]
fn two_parts_of_a_large_cluster_stay_within_a_quota() {
    struct Case {
        nodes: usize,
        /// Nodes of the second part, as a share.
        second: f64,
    }
    let cases = [(80, 0.5), (80, 0.2), (300, 0.5), (300, 0.35), (300, 0.1)];
    for Case { nodes, second } in cases.map(|(nodes, second)| Case { nodes, second }) {
        let mut network = cluster(nodes);
        network.silent_partitions = true;
        let first_nodes = nodes - (nodes as f64 * second) as usize;
        let mut owners = [Owner::new(1), Owner::new(nodes - 2)];
        for _ in 0..40 {
            network.run(STEP_MS);
            owners[0].ask(&network, (0..nodes).filter(|node| *node != 1));
            owners[0].share(&mut network);
        }
        let cut_at = network.now;
        for node in first_nodes..nodes {
            network.partitions[node] = 1;
        }
        owners[1].taken_over_at = Some(cut_at);
        let mut granted = 0.0;
        while network.now < cut_at + WINDOW_MS {
            network.run(STEP_MS);
            owners[0].ask(&network, (0..first_nodes).filter(|node| *node != 1));
            owners[1].ask(&network, (first_nodes..nodes).filter(|n| *n != nodes - 2));
            let share: f64 = owners.iter_mut().map(|o| o.share(&mut network)).sum();
            granted += share * STEP_MS as f64 / WINDOW_MS as f64;
        }
        assert!(
            granted <= 1.0 + OVERAGE,
            "{nodes} nodes, {second} cut off: {granted}"
        );
    }
}
