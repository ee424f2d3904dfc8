//! Prompt segments that crash endpoints, and the requests that share an endpoint with them.

use almondpath::clock::Millis;
use almondpath::gateway::{Crash, Evidence, Quarantine, Quarantined};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENDPOINTS: usize = 9;

/// Time from sending a request to its first event.
const PREFILL_MS: u64 = 150;

/// Time from the crash of an endpoint to its return.
const DOWN_MS: u64 = 4_000;

/// Time within which nodes learn of each other's evidence.
const EXCHANGE_MS: u64 = 500;

/// Time that a suspicion and the objections to it take.
const OBJECTION_TIME: Millis = Millis(1_000);

/// Time after which a caller sends a request again.
const RETURN_MS: u64 = 100;

/// Interval at which nodes review the evidence.
const REVIEW_MS: u64 = 250;

/// Time after the fifth crash from which at most [`MAX_LATE`] requests with the segment may reach
/// endpoints.
const BOUND_MS: u64 = 3_000;
const MAX_LATE: usize = 3;

/// Of this many sound requests, at most one may be held back because it broke off beside others.
const MIN_SOUND_PER_HELD_BACK: usize = 100;

const DEADLY: u64 = 999_999;

#[derive(Clone)]
struct Request {
    node: usize,
    unique: u64,
    shared: Vec<u64>,
    sent: u64,
    endpoint: usize,
    /// Endpoints that it was sent to in the present attempt of its caller.
    attempts: u32,
    /// Times that the caller may still send it.
    caller_retries: u32,
}

impl Request {
    fn is_deadly(&self) -> bool {
        self.shared.contains(&DEADLY)
    }
}

/// A simulated deployment whose nodes send requests to endpoints at random.
struct Deployment {
    nodes: Vec<Quarantine>,
    rng: SmallRng,
    /// When each endpoint is back, and its run.
    endpoints: Vec<(u64, u64)>,
    pending: Vec<Request>,
    crashes: Vec<u64>,
    /// Times at which deadly requests reached endpoints.
    deadly_sent: Vec<u64>,
    refused_sound: usize,
    /// Sound requests that were not sent again once.
    held_back_sound: usize,
    sound: usize,
    next_unique: u64,
    /// Endpoints that a node sends a request to.
    max_attempts: u32,
    /// Times that a caller sends a request again, to any node.
    caller_retries: u32,
    /// Requests that their callers send again, with the time.
    returning: Vec<(u64, Request)>,
}

impl Deployment {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| Quarantine::default()).collect(),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: vec![(0, 0); ENDPOINTS],
            pending: Vec::new(),
            crashes: Vec::new(),
            deadly_sent: Vec::new(),
            refused_sound: 0,
            held_back_sound: 0,
            sound: 0,
            next_unique: 10_000,
            max_attempts: 2,
            caller_retries: 0,
            returning: Vec::new(),
        }
    }

    fn request(&mut self, shared: Vec<u64>, now: u64) {
        self.next_unique += 1;
        let request = Request {
            node: self.rng.random_range(0..self.nodes.len()),
            unique: self.next_unique,
            shared,
            sent: now,
            endpoint: 0,
            attempts: 0,
            caller_retries: self.caller_retries,
        };
        self.send(request, now);
    }

    fn sound_request(&mut self, now: u64) {
        self.sound += 1;
        let first = self.rng.random_range(0..4);
        let second = self.rng.random_range(100..192);
        self.request(vec![first, second], now);
    }

    fn send(&mut self, mut request: Request, now: u64) {
        let node = &self.nodes[request.node];
        let shared = request.shared.iter().copied();
        if node.refused_for(shared, Millis(now)).is_some() {
            self.refused_sound += usize::from(!request.is_deadly());
            return;
        }
        if node.is_suspected(request.unique, request.shared.iter().copied()) {
            self.held_back_sound += usize::from(!request.is_deadly());
            self.give_up(request, now);
            return;
        }
        let up: Vec<usize> = (0..ENDPOINTS)
            .filter(|endpoint| self.endpoints[*endpoint].0 <= now)
            .collect();
        if up.is_empty() || request.attempts >= self.max_attempts {
            self.give_up(request, now);
            return;
        }
        request.endpoint = up[self.rng.random_range(0..up.len())];
        request.attempts += 1;
        request.sent = now;
        if request.is_deadly() {
            self.deadly_sent.push(now);
        }
        self.pending.push(request);
    }

    /// Lets the caller send a request again, to another node.
    fn give_up(&mut self, mut request: Request, now: u64) {
        if request.caller_retries > 0 {
            request.caller_retries -= 1;
            request.attempts = 0;
            request.node = self.rng.random_range(0..self.nodes.len());
            self.returning.push((now + RETURN_MS, request));
        }
    }

    fn crash(&mut self, endpoint: usize, now: u64) {
        self.crashes.push(now);
        let (back, run) = &mut self.endpoints[endpoint];
        *back = now + DOWN_MS;
        *run += 1;
        let name = endpoint as u64 + *run * 100;
        let all = std::mem::take(&mut self.pending);
        let (broken, rest) = all.into_iter().partition(|r| r.endpoint == endpoint);
        self.pending = rest;
        let broken: Vec<Request> = broken;
        for request in broken {
            self.nodes[request.node].record_crash(Crash {
                endpoint: name,
                request: request.unique,
                segments: request.shared.clone(),
                at: Millis(now),
            });
            self.send(request, now);
        }
    }

    /// Plays a minute in which all endpoints crash every 7 s, and one of them more often.
    fn play_mass_crashes(&mut self, weak: usize) {
        for now in (0..60_000).step_by(10) {
            if now % 50 == 0 {
                self.sound_request(now);
            }
            if now > 4_000 && now.is_multiple_of(7_000) {
                (0..ENDPOINTS).for_each(|endpoint| self.crash(endpoint, now));
            }
            if now.is_multiple_of(1_300) {
                self.crash(weak, now);
            }
            self.advance(now);
        }
    }

    fn advance(&mut self, now: u64) {
        let all = std::mem::take(&mut self.returning);
        let (due, rest) = all.into_iter().partition(|(at, _)| *at <= now);
        self.returning = rest;
        let due: Vec<(u64, Request)> = due;
        due.into_iter()
            .for_each(|(_, request)| self.send(request, now));
        while let Some(index) = self.pending.iter().position(|r| r.sent + PREFILL_MS <= now) {
            if self.pending[index].is_deadly() {
                self.crash(self.pending[index].endpoint, now);
                continue;
            }
            let request = self.pending.swap_remove(index);
            self.nodes[request.node].record_success(request.shared, Millis(now));
        }
        if now.is_multiple_of(EXCHANGE_MS) {
            let nodes = self.nodes.iter();
            let evidence: Vec<_> = nodes.map(|node| node.evidence(Millis(now))).collect();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let others = evidence.iter().enumerate().filter(|(i, _)| *i != index);
                others.for_each(|(_, evidence)| node.merge(evidence, Millis(now)));
            }
        }
        if now.is_multiple_of(REVIEW_MS) {
            for node in &mut self.nodes {
                node.review(Millis(now), OBJECTION_TIME);
            }
        }
    }
}

/// Guards against a prompt segment that crashes one endpoint after the other, and against refusing
/// requests that only share an endpoint or other segments with it.
#[test]
fn a_segment_that_crashes_endpoints_is_quarantined_alone() {
    struct Case {
        name: &'static str,
        nodes: usize,
        /// Pause between two requests with the segment, in milliseconds.
        pause: u64,
        segments: fn(u64) -> Vec<u64>,
        max_attempts: u32,
        caller_retries: u32,
    }
    let case = |name, nodes, pause, segments| Case {
        name,
        nodes,
        pause,
        segments,
        max_attempts: 2,
        caller_retries: 0,
    };
    let cases = [
        case("second segment", 8, 900, |n| vec![n % 4, DEADLY]),
        case("first segment", 6, 900, |n| vec![DEADLY, 100 + n % 92]),
        case("added segment", 8, 400, |n| {
            vec![n % 4, DEADLY, 100 + n % 92]
        }),
        case("only segment", 8, 900, |_| vec![DEADLY]),
        case("rare", 8, 3_000, |n| vec![n % 4, DEADLY]),
        case("frequent", 8, 200, |n| vec![n % 4, DEADLY]),
        case("many nodes", 40, 700, |n| vec![n % 4, DEADLY]),
        Case {
            caller_retries: 1,
            ..case("very rare, sent again", 8, 10_000, |n| vec![n % 4, DEADLY])
        },
        Case {
            max_attempts: 4,
            ..case("very rare, many attempts", 8, 10_000, |n| {
                vec![n % 4, DEADLY]
            })
        },
        Case {
            max_attempts: 3,
            caller_retries: 1,
            ..case("rare, many attempts, sent again", 8, 5_000, |n| {
                vec![n % 4, DEADLY]
            })
        },
        Case {
            max_attempts: 3,
            caller_retries: 1,
            ..case("frequent, many attempts, sent again", 8, 300, |n| {
                vec![n % 4, DEADLY]
            })
        },
    ];
    for case in cases {
        for seed in 0..20 {
            let name = format!("{}, seed {seed}", case.name);
            let mut deployment = Deployment::new(case.nodes, seed);
            deployment.max_attempts = case.max_attempts;
            deployment.caller_retries = case.caller_retries;
            for now in (0..60_000).step_by(10) {
                if now % 50 == 0 {
                    deployment.sound_request(now);
                }
                if now > 4_000 && now.is_multiple_of(case.pause) {
                    deployment.request((case.segments)(now / case.pause), now);
                }
                deployment.advance(now);
            }
            let fifth = deployment
                .crashes
                .get(4)
                .copied()
                .unwrap_or(u64::MAX - BOUND_MS);
            let sent = deployment.deadly_sent.iter();
            let late = sent.filter(|at| **at > fifth + BOUND_MS).count();
            assert!(
                late <= MAX_LATE,
                "{name}: {late} late, {:?}",
                deployment.crashes
            );
            assert_eq!(
                deployment.refused_sound, 0,
                "{name}: sound requests refused"
            );
            let held_back = deployment.held_back_sound;
            assert!(
                held_back * MIN_SOUND_PER_HELD_BACK <= deployment.sound,
                "{name}: {held_back} of {} held back",
                deployment.sound
            );
        }
    }
}

/// Guards against refusing sound requests after endpoints crashed for another reason.
#[test]
fn segments_of_requests_at_endpoints_that_crash_together_stay_allowed() {
    // Attempts of a node, and returns of a caller.
    for (max_attempts, caller_retries) in [(2, 0), (3, 1)] {
        for seed in 0..20 {
            let mut deployment = Deployment::new(8, seed);
            deployment.max_attempts = max_attempts;
            deployment.caller_retries = caller_retries;
            deployment.play_mass_crashes(seed as usize % ENDPOINTS);
            let name = format!("{max_attempts} attempts, seed {seed}");
            assert_eq!(deployment.refused_sound, 0, "{name}");
            let held_back = deployment.held_back_sound;
            assert!(
                held_back * MIN_SOUND_PER_HELD_BACK <= deployment.sound,
                "{name}: {held_back} of {} held back",
                deployment.sound
            );
        }
    }
}

/// Guards against a node that starts after many segments were quarantined and learns of some only.
#[test]
fn a_new_node_learns_of_all_quarantined_segments() {
    let segments = 1..=40;
    let quarantined = segments.clone().map(|segment| Quarantined {
        segment,
        until: Millis(500_000),
    });
    let evidence = Evidence {
        quarantined: quarantined.collect(),
        ..Evidence::default()
    };
    let now = Millis(1_000);
    let (mut known, mut new) = (Quarantine::default(), Quarantine::default());
    known.merge(&evidence, now);
    new.merge(&known.evidence(now), now);
    for segment in segments {
        assert!(new.refused_for([segment], now).is_some(), "{segment}");
    }
}

/// Guards against a sound segment whose success is not passed on because many others are suspected.
#[test]
fn successes_with_all_suspected_segments_reach_other_nodes() {
    let now = Millis(10_000);
    let mut node = Quarantine::default();
    let segments = 1..=40;
    for request in 0..10 {
        let group = request / 2 * 8;
        let crash = Crash {
            endpoint: request,
            request: 1_000 + request,
            segments: (group + 1..=group + 8).collect(),
            at: now,
        };
        node.record_crash(crash);
    }
    for group in 0..5 {
        node.record_success(group * 8 + 1..=group * 8 + 8, now + Millis(100));
    }
    let evidence = node.evidence(now + Millis(200));
    let passed_on: Vec<u64> = evidence.successes.iter().map(|s| s.segment).collect();
    assert_eq!(passed_on, segments.collect::<Vec<_>>());
}

/// Guards against a sound segment that is quarantined elsewhere, because so many are suspected that its
/// success is not passed on.
#[test]
fn the_success_with_the_most_accused_segment_reaches_other_nodes() {
    const ACCUSED: u64 = 1_000_000;
    let now = Millis(10_000);
    let mut node = Quarantine::default();
    for request in 0..200 {
        let group = request / 2 * 7;
        let mut segments: Vec<u64> = (group + 1..=group + 7).collect();
        segments.push(ACCUSED);
        node.record_crash(Crash {
            endpoint: request,
            request: 5_000 + request,
            segments,
            at: now,
        });
    }
    node.record_success([ACCUSED], now + Millis(100));
    for segment in 1..=700 {
        node.record_success([segment], now + Millis(100));
    }
    let evidence = node.evidence(now + Millis(200));
    assert!(evidence.successes.iter().any(|s| s.segment == ACCUSED));
}

/// Guards against refusing a segment in wide use in a large cluster, in which the successes of other
/// nodes are known only seconds after a few responses were lost.
#[test]
fn a_segment_in_wide_use_outlasts_lost_responses_in_a_large_cluster() {
    const NODES: u64 = 74;
    const WIDE: u64 = 7;
    /// Time that news take from one node to another, through two readers.
    const NEWS_MS: u64 = 1_800;
    const ROUND_MS: u64 = 200;
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<Quarantine> = (0..NODES).map(|_| Quarantine::default()).collect();
        let mut news: Vec<(u64, Evidence)> = Vec::new();
        for now in (ROUND_MS..8_000).step_by(ROUND_MS as usize) {
            // One request in fifteen gets no response, of whichever segment.
            for request in 0..40 {
                let node = rng.random_range(0..NODES) as usize;
                let at = Millis(now);
                if rng.random_range(0..15) > 0 {
                    nodes[node].record_success([WIDE], at);
                } else {
                    nodes[node].record_crash(Crash {
                        endpoint: rng.random_range(0..70),
                        request: now * 1_000 + request,
                        segments: vec![WIDE],
                        at,
                    });
                }
            }
            news.extend(nodes.iter().map(|node| (now, node.evidence(Millis(now)))));
            for (_, evidence) in news.iter().filter(|(sent, _)| sent + NEWS_MS == now) {
                for node in &mut nodes {
                    node.merge(evidence, Millis(now));
                }
            }
            for node in &mut nodes {
                let found = node.review(Millis(now), Millis(2 * NEWS_MS));
                assert_eq!(found, [], "seed {seed} at {now} ms");
            }
        }
    }
}
