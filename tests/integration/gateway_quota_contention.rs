//! An account that sends more than its quota allows: who is served, how late, and whom it costs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::{Ask, Profile, Quota, Quotas, Reachability, Run, Tolerance};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(crate) const TOLERANCE: Tolerance = Tolerance {
    overage: 0.1,
    slack: 110_000.0,
    window: Millis(8_000),
};

pub(crate) const QUOTA: Quota = Quota {
    rate: 400_000.0,
    burst: 400_000.0,
    counts_tokens: true,
    plain_tokens: 200.0,
};

pub(crate) const ALONE: Reachability = Reachability {
    nodes: 1,
    unreachable: 0,
    lost_at: None,
};

/// Part of the time left, as its inverse, that a caller waits at most before it comes back.
const CALLER_WAIT_FRACTION: u64 = 3;

/// Least share of a kind's requests that has to be served, relative to all requests.
pub(crate) const FLOOR: f64 = 0.25;

/// Seconds of each played load.
const LOAD_SECONDS: u64 = 20;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    priority: u8,
    mean_units: f64,
    /// Part of the demand, in requests.
    weight: f64,
    target_ms: u64,
    deadline_ms: u64,
}

const fn kind(priority: u8, mean_units: f64, weight: f64, target_ms: u64) -> Kind {
    Kind {
        priority,
        mean_units,
        weight,
        target_ms,
        deadline_ms: 4 * target_ms,
    }
}

/// Kinds of requests in the order in which they are to be served, but for the third one, whose requests
/// cost next to nothing.
const KINDS: [Kind; 4] = [
    kind(0, 2_400.0, 0.35, 500),
    kind(1, 900.0, 0.12, 500),
    kind(2, 200.0, 0.25, 120),
    kind(2, 9_200.0, 0.28, 1_200),
];

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    units: f64,
    ticket: u64,
    sent: u64,
    /// Whether the caller comes back at once, and often.
    hasty: bool,
    attempts: u32,
    /// Time at which the caller was told to come back, if within the time that it waits.
    told: Option<u64>,
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    sent: f64,
    served: f64,
    on_target: f64,
    /// Requests that came back when they were told to, in time for their targets, and those among them
    /// that were served then.
    returned: f64,
    returned_served: f64,
}

impl Outcomes {
    fn share(&self) -> f64 {
        self.served / self.sent.max(1.0)
    }
}

/// A played load of one account.
struct Load {
    quotas: Quotas,
    rng: SmallRng,
    /// Whether requests are decided by what is known of them.
    has_profiles: bool,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    requests: Vec<Request>,
    granted: Vec<(u64, f64)>,
    kinds: [Outcomes; KINDS.len()],
    hasty: Outcomes,
    /// The largest tenth of the last kind.
    large: Outcomes,
}

impl Load {
    fn new(seed: u64, has_profiles: bool) -> Self {
        Self {
            quotas: Quotas::new(Run::default(), TOLERANCE, Millis::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            has_profiles,
            due: BinaryHeap::new(),
            requests: Vec::new(),
            granted: Vec::new(),
            kinds: Default::default(),
            hasty: Outcomes::default(),
            large: Outcomes::default(),
        }
    }

    /// Plays requests that together cost `factor` times the quota, of which a share is of hasty callers.
    fn play(mut self, factor: f64, hasty_share: f64) -> Self {
        let mean: f64 = KINDS.iter().map(|k| k.mean_units * k.weight).sum();
        let per_ms = QUOTA.rate * factor / mean / 1_000.0;
        let mut at = 0.0;
        while at < (LOAD_SECONDS * 1_000) as f64 {
            at -= self.rng.random::<f64>().max(1e-9).ln() / per_ms;
            self.arrive(at as u64, hasty_share);
        }
        while let Some(Reverse((now, index))) = self.due.pop() {
            self.attempt(index, now);
        }
        self
    }

    fn arrive(&mut self, at: u64, hasty_share: f64) {
        let mut draw = self.rng.random::<f64>();
        let kind = KINDS.iter().position(|kind| {
            draw -= kind.weight;
            draw < 0.0
        });
        let kind = kind.unwrap_or(0);
        let request = Request {
            kind,
            units: KINDS[kind].mean_units * self.rng.random_range(0.2..1.8),
            ticket: self.rng.random(),
            sent: at,
            hasty: self.rng.random::<f64>() < hasty_share,
            attempts: 0,
            told: None,
        };
        self.due.push(Reverse((at, self.requests.len())));
        self.requests.push(request);
        self.count(&request, |outcomes| outcomes.sent += 1.0);
    }

    fn attempt(&mut self, index: usize, now: u64) {
        let request = self.requests[index];
        let kind = KINDS[request.kind];
        let left = request.sent + kind.deadline_ms - now;
        let wait = left / CALLER_WAIT_FRACTION;
        let profile = Profile {
            kind: request.kind as u64,
            priority: kind.priority,
            ticket: Some(request.ticket),
            patience: Millis(wait.min(kind.target_ms / 2)),
        };
        let ask = Ask {
            units: request.units,
            profile: self.has_profiles.then_some(profile),
        };
        let account: Arc<str> = "account".into();
        let decided = self.quotas.take(&account, &QUOTA, ask, ALONE, Millis(now));
        let on_target = now <= request.sent + kind.target_ms;
        let as_told = request.told == Some(now) && on_target;
        self.count(&request, |outcomes| {
            outcomes.returned += f64::from(u8::from(as_told));
            outcomes.returned_served += f64::from(u8::from(as_told && decided.is_ok()));
        });
        let Err(denial) = decided else {
            self.granted.push((now, request.units));
            self.count(&request, |outcomes| {
                outcomes.served += 1.0;
                outcomes.on_target += f64::from(u8::from(on_target));
            });
            return;
        };
        let most = if request.hasty { 5 } else { 1 };
        if request.attempts >= most {
            return;
        }
        let told = denial.retry_after.0;
        let pause = if request.hasty { 10 } else { told.min(wait) };
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.told = (told <= wait.min(kind.target_ms / 2)).then_some(now + told);
        self.due.push(Reverse((now + pause, index)));
    }

    fn count<F>(&mut self, request: &Request, change: F)
    where
        F: Fn(&mut Outcomes),
    {
        if request.hasty {
            change(&mut self.hasty);
            return;
        }
        change(&mut self.kinds[request.kind]);
        let is_last = request.kind + 1 == KINDS.len();
        if is_last && request.units > KINDS[request.kind].mean_units * 1.64 {
            change(&mut self.large);
        }
    }

    fn all(&self) -> Outcomes {
        let sum = |count: fn(&Outcomes) -> f64| self.kinds.iter().map(count).sum();
        Outcomes {
            sent: sum(|o| o.sent),
            served: sum(|o| o.served),
            on_target: sum(|o| o.on_target),
            returned: sum(|o| o.returned),
            returned_served: sum(|o| o.returned_served),
        }
    }

    /// Checks that no window exceeds the limit, and that what it allows was granted.
    fn check_limit(&self, name: &str) {
        let window = TOLERANCE.window.0;
        let most = TOLERANCE.units_in_window(&QUOTA) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack;
        for end in (0..LOAD_SECONDS * 1_000).step_by(100) {
            let within = |at: u64| at <= end && at + window > end;
            let units = self.granted.iter().filter(|(at, _)| within(*at));
            let units: f64 = units.map(|(_, units)| units).sum();
            assert!(units <= most, "{name}: {units} of {most} until {end} ms");
        }
        let all: f64 = self.granted.iter().map(|(_, units)| units).sum();
        let due = QUOTA.rate * LOAD_SECONDS as f64;
        assert!(all >= due, "{name}: {all} of {due} granted");
    }
}

/// Guards against requests that are served alike although some are urgent or cost little, and against
/// the starvation of any kind or size.
#[test]
fn the_urgent_and_the_cheap_go_first_and_none_starves() {
    struct Case {
        factor: f64,
        /// Least share of the most urgent kind.
        urgent: f64,
    }
    let cases = [
        Case {
            factor: 2.0,
            urgent: 0.95,
        },
        Case {
            factor: 2.8,
            urgent: 0.85,
        },
        Case {
            factor: 5.0,
            urgent: 0.5,
        },
    ];
    for Case { factor, urgent } in cases {
        for seed in 0..3 {
            let load = Load::new(seed, true).play(factor, 0.0);
            let earlier = Load::new(seed, false).play(factor, 0.0);
            let shares = load.kinds.map(|outcomes| outcomes.share());
            let name = format!("{factor} times the quota, seed {seed}: {shares:?}");
            load.check_limit(&name);
            assert!(shares[0] >= urgent, "{name}: the most urgent");
            for (first, next) in [(0, 1), (1, 3), (2, 3)] {
                assert!(shares[first] >= shares[next] - 0.05, "{name}: the order");
            }
            let all = load.all();
            for share in shares {
                assert!(share >= FLOOR * all.share(), "{name}: the floor");
            }
            let large = load.large.share();
            assert!(large >= shares[3] / 2.0, "{name}: {large} of the largest");
            let (now, before) = (all.on_target / all.sent, earlier.all().on_target / all.sent);
            assert!(
                now >= before + 0.1,
                "{name}: {now} on target, {before} in order of arrival"
            );
        }
    }
}

/// Guards against a difference for accounts that have room.
#[test]
fn an_account_with_room_is_served_in_order_of_arrival() {
    for factor in [0.5, 0.9] {
        for seed in 0..3 {
            let load = Load::new(seed, true).play(factor, 0.0);
            let earlier = Load::new(seed, false).play(factor, 0.0);
            assert_eq!(
                load.granted, earlier.granted,
                "factor {factor}, seed {seed}"
            );
        }
    }
}

/// Guards against a retry delay at whose end there is no room, and against callers that gain by coming
/// back at once and often.
#[test]
fn those_who_come_back_as_told_find_room() {
    for seed in 0..3 {
        let load = Load::new(seed, true).play(5.0, 0.3);
        load.check_limit("with hasty callers");
        let all = load.all();
        assert!(
            all.returned > 100.0,
            "seed {seed}: {} returned",
            all.returned
        );
        let kept = all.returned_served / all.returned;
        assert!(
            kept >= 0.95,
            "seed {seed}: {kept} of {} served",
            all.returned
        );
        let (patient, hasty) = (
            all.on_target / all.sent,
            load.hasty.on_target / load.hasty.sent,
        );
        assert!(
            hasty <= patient,
            "seed {seed}: {hasty} of hasty callers, {patient} of others"
        );
    }
}

/// Guards against requests denied together that return together.
#[test]
fn requests_denied_together_return_one_after_the_other() {
    let mut quotas = Quotas::new(Run::default(), TOLERANCE, Millis::ZERO);
    let account: Arc<str> = "account".into();
    let mut take = |ticket| {
        let profile = Profile {
            kind: 1,
            priority: 0,
            ticket: Some(ticket),
            patience: Millis(1_000),
        };
        let ask = Ask {
            units: 4_000.0,
            profile: Some(profile),
        };
        quotas.take(&account, &QUOTA, ask, ALONE, Millis(0))
    };
    let mut ticket = 0;
    while take(ticket).is_ok() {
        ticket += 1;
    }
    let delays = (1..100).map(|next| take(ticket + next).expect_err("no room").retry_after);
    let mut delays: Vec<u64> = delays.map(|delay| delay.0).collect();
    delays.sort_unstable();
    // Of 4,000 units each, 100 may be granted in a second.
    let together = delays.windows(10).filter(|times| times[9] - times[0] < 90);
    assert_eq!(together.count(), 0, "{delays:?}");
}
