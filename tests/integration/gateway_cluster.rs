//! How the nodes of a gateway hear of each other: joins, losses, partitions, and what it costs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::cluster::{Clocks, Selector, View};
use almondpath::gateway::{Announcement, Roster};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Time between two rounds of a node in a deployment of many.
const ROUND_MS: u64 = 600;

/// Time between two rounds with few nodes, and of a node that has just started.
const SHORT_ROUND_MS: u64 = 250;

/// The users' bound for the return of nodes that start together (`catch_up_s`).
const JOIN_BOUND_MS: u64 = 6_000;

/// The users' bound for the return to service after a loss of all (`recovery_s`).
const RECOVERY_BOUND_MS: u64 = 15_000;

/// Bytes a second that control may cost a node at the design size.
const BYTES_A_SECOND: f64 = 2_000.0;

/// Bytes of a message beside its content: the frame of a call and of its answer.
const FRAME_BYTES: usize = 120;

pub(crate) fn announcement(node: &str, domain: &str) -> Announcement {
    Announcement {
        node: node.into(),
        incarnation: 1,
        sequence: 1,
        peer: "127.0.0.1:1".parse().expect("an address"),
        front: "127.0.0.1:2".parse().expect("an address"),
        domain: domain.into(),
        watcher: None,
        store_available: true,
        ready: true,
        leaving: false,
        duties_fence: None,
        granted: Vec::new(),
        inflight: Vec::new(),
    }
}

struct Node {
    name: Arc<str>,
    domain: Arc<str>,
    peer: SocketAddr,
    announcement: Announcement,
    roster: Roster,
    selector: Selector,
    started: u64,
    up: bool,
    next_round: u64,
    /// Versions of the news of others, by name, with their incarnations.
    since: HashMap<Arc<str>, (u64, u64)>,
    /// Versions up to which others were told this node's claims, with their incarnations.
    told: HashMap<usize, (u64, u64)>,
    bytes: usize,
}

impl Node {
    fn uptime(&self, now: u64) -> Millis {
        Millis(now - self.started)
    }
}

/// Nodes in virtual time, each with an address of its own.
struct Network {
    nodes: Vec<Node>,
    known_nodes: Vec<(Arc<str>, SocketAddr)>,
    by_peer: HashMap<SocketAddr, usize>,
    /// The side of a partition that each node is on.
    sides: Vec<u32>,
    now: u64,
}

impl Network {
    fn new(count: usize) -> Self {
        let nodes: Vec<Node> = (0..count).map(Self::node).collect();
        let known_nodes = nodes.iter().map(|n| (Arc::clone(&n.name), n.peer));
        let mut known_nodes: Vec<_> = known_nodes.collect();
        known_nodes.sort_by_cached_key(|(name, _)| xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        Self {
            by_peer: nodes.iter().enumerate().map(|(i, n)| (n.peer, i)).collect(),
            sides: vec![0; count],
            known_nodes,
            nodes,
            now: 0,
        }
    }

    fn node(number: usize) -> Node {
        let name: Arc<str> = format!("edge-{number}").into();
        let domain: Arc<str> = DOMAINS[number % DOMAINS.len()].into();
        let peer = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 1));
        Node {
            announcement: Announcement {
                peer,
                ..announcement(&name, &domain)
            },
            roster: Roster::new(Arc::clone(&name)),
            selector: Selector::new(number as u64),
            started: 0,
            up: true,
            next_round: (number as u64 * 37) % 300,
            since: HashMap::new(),
            told: HashMap::new(),
            bytes: 0,
            name,
            domain,
            peer,
        }
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    fn start(&mut self, node: usize) {
        let now = self.now;
        let node = &mut self.nodes[node];
        node.up = true;
        node.started = now;
        node.next_round = now + (node.peer.port() as u64 * 13) % 100;
        node.announcement.incarnation += 1;
        node.announcement.sequence = 1;
        node.announcement.watcher = None;
        node.roster = Roster::new(Arc::clone(&node.name));
        node.selector = Selector::new(now);
        node.since.clear();
        node.told.clear();
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 10;
            for node in 0..self.nodes.len() {
                if self.nodes[node].up && self.nodes[node].next_round <= self.now {
                    self.round(node);
                }
            }
        }
    }

    fn round(&mut self, index: usize) {
        let now = Millis(self.now);
        let node = &mut self.nodes[index];
        let short = node.uptime(self.now) < Millis(3_000) || node.roster.is_small();
        node.next_round = self.now + if short { SHORT_ROUND_MS } else { ROUND_MS };
        node.roster.tick(now);
        let readers = node.roster.readers(&node.domain, true, now);
        let view = View {
            own: &node.name,
            domain: &node.domain,
            peer: node.peer,
            roster: &node.roster,
            readers: &readers,
            known_nodes: &self.known_nodes,
            seeds: &[],
        };
        let targets = node.selector.next(&view, now);
        let watcher = node.selector.watcher().cloned();
        if node.announcement.watcher != watcher {
            node.announcement.watcher = watcher;
            node.announcement.sequence += 1;
        }
        for target in targets {
            let to = self.by_peer[&target.peer];
            if self.nodes[to].up && self.sides[to] == self.sides[index] {
                self.exchange(index, to, target.wants_delta);
            } else if let Some(name) = &target.node {
                self.nodes[index].roster.record_failure(name, now);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, news: bool) {
        let now = Millis(self.now);
        let (announcement, uptime) = self.says(from);
        let mut bytes = 2 * FRAME_BYTES + size(&announcement);
        let run = self.nodes[to].announcement.incarnation;
        if news {
            let asker = &self.nodes[from];
            let told = asker.told.get(&to).filter(|(at, _)| *at == run);
            let (version, claims) = asker
                .roster
                .own_claims_since(told.map_or(0, |(_, v)| *v), now);
            bytes += size(&claims);
            self.nodes[from].told.insert(to, (run, version));
            self.nodes[to].roster.apply(claims, now);
        }
        let asked = &mut self.nodes[to];
        if asked.roster.record_contact(announcement, uptime, now) {
            asked.selector.record_recovery();
        }
        let name = Arc::clone(&asked.name);
        let known = self.nodes[from].since.get(&name).copied();
        let since = known
            .filter(|(at, _)| *at == run)
            .map_or(0, |(_, since)| since);
        let (until, changed) = self.nodes[to].roster.updates_since(since, now);
        let (announcement, uptime) = self.says(to);
        bytes += size(&announcement);
        let asker = &mut self.nodes[from];
        if asker.roster.record_contact(announcement, uptime, now) {
            asker.selector.record_recovery();
        }
        if news {
            bytes += size(&changed);
            asker.roster.apply(changed, now);
            asker.since.insert(name, (run, until));
        }
        self.nodes[from].bytes += bytes;
        self.nodes[to].bytes += bytes;
    }

    fn says(&self, index: usize) -> (Announcement, Millis) {
        let node = &self.nodes[index];
        (node.announcement.clone(), node.uptime(self.now))
    }

    /// Returns how many nodes that live on the same side are not heard, and how many others are,
    /// over all nodes.
    fn wrong(&self) -> (usize, usize) {
        let now = Millis(self.now);
        let (mut missing, mut ghosts) = (0, 0);
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            for (other, member) in self.nodes.iter().enumerate().filter(|(o, _)| *o != index) {
                let lives = member.up && self.sides[other] == self.sides[index];
                let known = node.roster.member(&member.name);
                let heard = known.is_some_and(|m| node.roster.is_alive(m, now));
                missing += usize::from(lives && !heard);
                ghosts += usize::from(!lives && heard);
            }
        }
        (missing, ghosts)
    }

    /// Runs until all nodes hear those that live and no others; returns how long that took.
    fn settle(&mut self, bound_ms: u64, what: &str) -> u64 {
        let begun = self.now;
        while self.wrong() != (0, 0) {
            assert!(
                self.now - begun < bound_ms,
                "{what}: {:?} missing and ghosts after {bound_ms} ms",
                self.wrong()
            );
            self.run(100);
        }
        self.now - begun
    }

    /// Runs and counts the nodes that live and are not heard somewhere, at any time.
    fn most_missing(&mut self, ms: u64) -> usize {
        let end = self.now + ms;
        let mut most = 0;
        while self.now < end {
            self.run(100);
            most = most.max(self.wrong().0);
        }
        most
    }
}

fn size<T>(value: &T) -> usize
where
    T: serde::Serialize,
{
    postcard::to_stdvec(value)
        .expect("news can be encoded")
        .len()
}

const SIZES: [usize; 3] = [6, 83, 370];

/// Guards against nodes that do not find each other after a start of all at once.
#[test]
fn nodes_that_start_together_hear_each_other_soon() {
    for count in SIZES {
        let mut network = Network::new(count);
        let took = network.settle(JOIN_BOUND_MS, &format!("{count} nodes"));
        println!("{count} nodes hear each other after {took} ms");
        assert_eq!(
            network.most_missing(20_000),
            0,
            "{count} nodes are heard from then on"
        );
    }
}

/// Guards against announcements of all nodes to all nodes: at 300 nodes they cost each 311 kB/s.
#[test]
fn a_calm_deployment_costs_a_node_little_at_the_design_size() {
    for count in SIZES {
        let mut network = Network::new(count);
        network.run(20_000);
        network.nodes.iter_mut().for_each(|node| node.bytes = 0);
        network.run(30_000);
        let mut bytes: Vec<usize> = network.nodes.iter().map(|node| node.bytes).collect();
        bytes.sort_unstable();
        let a_second = |bytes: usize| bytes as f64 / 30.0;
        let (middle, most) = (a_second(bytes[count / 2]), a_second(bytes[count - 1]));
        println!("{count} nodes: {middle:.0} B/s, {most:.0} B/s at a reader");
        // Small deployments make shorter rounds on the wire; here all make long ones.
        assert!(
            middle <= BYTES_A_SECOND,
            "{middle:.0} B/s with {count} nodes"
        );
    }
}

/// Guards against a lost node that is told to callers, and against others that are lost with it: the
/// reader it asked, or those that asked it.
#[test]
fn a_lost_node_is_known_everywhere_and_no_other_one() {
    for count in SIZES {
        for lost in [0, 1, 2, 3, 4, 5] {
            let mut network = Network::new(count);
            network.run(10_000);
            network.kill(lost);
            network.settle(6_000, &format!("node {lost} of {count}"));
            assert_eq!(network.most_missing(10_000), 0, "node {lost} of {count}");
        }
    }
}

/// Guards against a deployment that parts when all nodes that pass news on are lost at once.
#[test]
fn the_loss_of_all_readers_is_borne() {
    for count in SIZES {
        let mut network = Network::new(count);
        network.run(10_000);
        let now = Millis(network.now);
        let first = &network.nodes[0];
        let readers = first.roster.readers(&first.domain, true, now);
        for index in 0..count {
            if readers.contains(&network.nodes[index].name) {
                network.kill(index);
            }
        }
        network.settle(10_000, &format!("{} readers of {count}", readers.len()));
        assert_eq!(network.most_missing(10_000), 0, "{count} nodes");
    }
}

/// Guards against nodes that are not heard after many were killed and started again.
#[test]
fn nodes_that_start_again_are_heard_soon() {
    for count in SIZES {
        for part in [2, 1] {
            let mut network = Network::new(count);
            network.run(10_000);
            for node in (0..count).step_by(part) {
                network.kill(node);
            }
            network.run(1_500);
            for node in (0..count).step_by(part) {
                network.start(node);
            }
            network.settle(JOIN_BOUND_MS, &format!("each {part}. of {count}"));
        }
    }
}

/// Guards against halves that do not hear each other again after a partition has healed.
#[test]
fn a_partition_is_seen_and_heals() {
    for count in SIZES {
        let mut network = Network::new(count);
        network.run(10_000);
        network.sides = (0..count)
            .map(|node| u32::from(node >= count / 2))
            .collect();
        network.settle(RECOVERY_BOUND_MS, &format!("parted, {count} nodes"));
        network.run(10_000);
        network.sides = vec![0; count];
        let took = network.settle(RECOVERY_BOUND_MS, &format!("healed, {count} nodes"));
        println!("{count} nodes agree {took} ms after a partition");
        assert_eq!(
            network.most_missing(10_000),
            0,
            "{count} nodes, after the partition"
        );
    }
}

/// Guards against a node that was cut off, took all others for lost, and tells everyone so.
#[test]
fn a_node_that_was_cut_off_makes_nobody_lost() {
    for cut in 0..6 {
        let mut network = Network::new(83);
        network.run(10_000);
        network.sides[cut] = 1;
        network.run(12_000);
        network.sides[cut] = 0;
        let mut most = 0;
        for _ in 0..80 {
            network.run(100);
            let now = Millis(network.now);
            for (index, node) in network.nodes.iter().enumerate().filter(|(i, _)| *i != cut) {
                let others = network.nodes.iter().enumerate();
                let others = others.filter(|(other, _)| *other != index && *other != cut);
                let missing = others.filter(|(_, other)| {
                    let member = node.roster.member(&other.name);
                    !member.is_some_and(|m| node.roster.is_alive(m, now))
                });
                most = most.max(missing.count());
            }
        }
        assert_eq!(most, 0, "after node {cut} was cut off");
        network.settle(1, &format!("node {cut} is back"));
    }
}

/// Guards against nodes that the store turns away and others follow: all nodes of a failure domain
/// knew departures only 3 s late (trouble-1 of colecta-canelones-grown).
#[test]
fn nodes_that_the_store_turns_away_read_for_nobody() {
    struct Case {
        name: &'static str,
        turned_away: &'static [&'static str],
        readers: usize,
    }
    let cases = [
        Case {
            name: "none",
            turned_away: &[],
            readers: 2,
        },
        Case {
            name: "three",
            turned_away: &["n0", "n3", "n5"],
            readers: 2,
        },
        Case {
            name: "all others",
            turned_away: &["n0", "n1", "n2", "n3", "n4", "n5"],
            readers: 1,
        },
    ];
    let now = Millis(10);
    for case in cases {
        let mut roster = Roster::new("own".into());
        for number in 0..6 {
            let (name, domain) = (format!("n{number}"), DOMAINS[number % 3]);
            let announcement = Announcement {
                store_available: !case.turned_away.contains(&&*name),
                ..announcement(&name, domain)
            };
            roster.record_contact(announcement, Millis(20_000), Millis(0));
        }
        let readers = roster.readers(&"a".into(), true, now);
        assert_eq!(readers.len(), case.readers, "{}: {readers:?}", case.name);
        let turned_away = |reader: &Arc<str>| case.turned_away.contains(&&**reader);
        assert!(
            !readers.iter().any(turned_away),
            "{}: {readers:?}",
            case.name
        );
    }
    let mut roster = Roster::new("own".into());
    let away = Announcement {
        store_available: false,
        ..announcement("n0", "a")
    };
    roster.record_contact(away, Millis(20_000), Millis(0));
    let readers = roster.readers(&"a".into(), false, now);
    assert_eq!(
        readers.len(),
        2,
        "some have to find out when the store is back"
    );
}

/// Guards against buckets that nodes disagree on, and against owners that have just started and know
/// nothing of what was granted.
#[test]
fn nodes_agree_on_the_owner_of_a_bucket() {
    let names: Vec<String> = (0..8).map(|number| format!("n{number}")).collect();
    let uptime = |name: &str, young: &str| Millis(if name == young { 1_000 } else { 20_000 });
    let port = |name: &str| 7_000 + name[1..].parse::<u16>().expect("a number");
    let owner = |own: &str, account: &str, young: &str| {
        let mut roster = Roster::new(own.into());
        for name in names.iter().filter(|name| *name != own) {
            let announcement = Announcement {
                peer: SocketAddr::from(([127, 0, 0, 1], port(name))),
                ..announcement(name, "a")
            };
            roster.record_contact(announcement, uptime(name, young), Millis(0));
        }
        let owners = roster.owners(uptime(own, young), account, Millis(10), 2);
        let first = owners[0].map_or_else(|| port(own), |address| address.port());
        format!("n{}", first - 7_000)
    };
    for account in ["one", "two", "three", "four"] {
        let first = owner("n0", account, "none");
        let second = owner("n0", account, &first);
        assert_ne!(first, second, "a node that has just started owns nothing");
        for own in &names {
            assert_eq!(owner(own, account, "none"), first, "{account} at {own}");
            assert_eq!(owner(own, account, &first), second, "{account} at {own}");
        }
    }
}

/// Guards against usage that is counted in a wrong window by a node whose clock jumped.
#[test]
fn most_nodes_know_the_time_of_day() {
    let mut clocks = Clocks::default();
    let (now, right) = (Millis(50_000), Millis(1_000_000));
    for (node, off) in [("a", 0), ("b", 20), ("c", 4_000)] {
        clocks.record(&node.into(), right + Millis(off), now);
    }
    let jumped = Millis(right.0 - 60_000);
    let agreed = clocks.median(jumped, now);
    assert!(agreed.0.abs_diff(right.0) <= 20, "{agreed}");
    let later = now + Millis(6_000);
    clocks.prune(later);
    assert_eq!(
        clocks.median(jumped, later),
        jumped,
        "old readings say nothing"
    );
}
