//! The gateway's view of its endpoints, and the choice of an endpoint for a request.

use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::capacity::Targets;
use almondpath::gateway::rollout::Versions;
use almondpath::gateway::{
    Fleet, Identity, Lifecycle, Load, Pacing, Prompt, Query, RegisterOutcome, Registration,
    Segment, choose,
};

const SERVICE: &str = "engines";
const MEMORY_TOKENS: u64 = 400_000;

fn registration(id: &str, born: u64, sequence: u64) -> Registration {
    Registration {
        identity: Identity {
            id: id.into(),
            born,
        },
        service: SERVICE.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        domain: "a".into(),
        version: "v1".into(),
        slots: 64,
        leaving: false,
        leaves_in: None,
        cold: Millis::ZERO,
        spot: false,
        sequence,
    }
}

fn lifecycle(fleet: &Fleet, id: &str) -> Option<Lifecycle> {
    let key = fleet.find(id)?;
    Some(fleet.get(key)?.lifecycle)
}

/// Guards against a late or forged registration that brings back an endpoint that has left.
#[test]
fn a_departure_is_final_for_one_run_of_an_endpoint() {
    struct Case {
        name: &'static str,
        leave: fn(&mut Fleet),
        later: Registration,
        after: Lifecycle,
    }
    let draining = |fleet: &mut Fleet| {
        let leaving = Registration {
            leaving: true,
            ..registration("e", 10, 5)
        };
        fleet.register(leaving, MEMORY_TOKENS, Millis(10));
    };
    let remove = |fleet: &mut Fleet| {
        fleet.remove("e", Millis(10));
    };
    let cases = [
        Case {
            name: "an older registration after draining",
            leave: draining,
            later: registration("e", 10, 4),
            after: Lifecycle::Leaving,
        },
        Case {
            name: "a newer registration after draining",
            leave: draining,
            later: registration("e", 10, 9),
            after: Lifecycle::Leaving,
        },
        Case {
            name: "a newer registration after draining and the removal",
            leave: |fleet| {
                let identity = registration("e", 10, 3).identity;
                fleet.record_departure(&identity, Millis(10));
                fleet.remove("e", Millis(15));
            },
            later: registration("e", 10, 9),
            after: Lifecycle::Leaving,
        },
        Case {
            name: "the same registration after the removal",
            leave: remove,
            later: registration("e", 10, 3),
            after: Lifecycle::Unlisted,
        },
        Case {
            name: "a registration of a restored store after the removal",
            leave: |fleet| {
                fleet.remove("e", Millis(10));
                fleet.note_outdated(&registration("e", 10, 9));
            },
            later: registration("e", 10, 9),
            after: Lifecycle::Unlisted,
        },
        Case {
            name: "a newer registration after the removal: it was cut off from the store",
            leave: remove,
            later: registration("e", 10, 9),
            after: Lifecycle::Ready,
        },
        Case {
            name: "a registration after another node saw it leave",
            leave: |fleet| {
                let identity = Identity {
                    id: "e".into(),
                    born: 10,
                };
                fleet.record_departure(&identity, Millis(10));
            },
            later: registration("e", 10, 9),
            after: Lifecycle::Leaving,
        },
        Case {
            name: "another run under the same id",
            leave: draining,
            later: registration("e", 11, 0),
            after: Lifecycle::Ready,
        },
        Case {
            name: "a registration of an earlier run",
            leave: draining,
            later: registration("e", 9, 20),
            after: Lifecycle::Leaving,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        fleet.register(registration("e", 10, 3), MEMORY_TOKENS, Millis(0));
        (case.leave)(&mut fleet);
        fleet.register(case.later, MEMORY_TOKENS, Millis(20));
        assert_eq!(lifecycle(&fleet, "e"), Some(case.after), "{}", case.name);
    }
}

/// Guards against an endpoint that takes minutes to leave and becomes ready again, because its
/// departure is forgotten while its entry is still present; and against state that only grows.
#[test]
fn a_departure_is_remembered_until_the_entry_is_gone() {
    let mut fleet = Fleet::default();
    for id in ["removed", "missing", "listed"] {
        fleet.register(registration(id, 10, 3), MEMORY_TOKENS, Millis(0));
        let identity = registration(id, 10, 3).identity;
        fleet.record_departure(&identity, Millis(10));
    }
    fleet.prune(Millis(300_000));
    let changed = Registration {
        slots: 32,
        ..registration("listed", 10, 9)
    };
    fleet.register(changed, MEMORY_TOKENS, Millis(300_010));
    assert_eq!(lifecycle(&fleet, "listed"), Some(Lifecycle::Leaving));

    fleet.remove("removed", Millis(301_000));
    fleet.mark_missing("missing", Millis(301_000));
    fleet.prune(Millis(360_000));
    assert_eq!(lifecycle(&fleet, "removed"), Some(Lifecycle::Leaving));
    fleet.prune(Millis(362_000));
    assert_eq!(lifecycle(&fleet, "removed"), None);
    assert_eq!(lifecycle(&fleet, "missing"), None);
    assert_eq!(lifecycle(&fleet, "listed"), Some(Lifecycle::Leaving));
}

/// Guards against a late registration that is passed on in place of the departure, so that nodes
/// which do not read the store themselves keep sending requests. On 5 of 40 simulated days of a
/// search for faults, endpoints that had announced their departure got new requests.
#[test]
fn a_superseded_registration_is_not_passed_on() {
    let mut fleet = Fleet::default();
    let mut is_new = |registration| {
        let outcome = fleet.register(registration, MEMORY_TOKENS, Millis(10));
        matches!(outcome, RegisterOutcome::Changed(_))
    };
    assert!(is_new(registration("e", 10, 3)));
    assert!(!is_new(registration("e", 10, 4)), "a heartbeat");
    let leaving = Registration {
        leaving: true,
        ..registration("e", 10, 5)
    };
    assert!(is_new(leaving));
    for late in [
        registration("e", 10, 4),
        registration("e", 10, 6),
        registration("e", 9, 9),
    ] {
        assert!(!is_new(late));
    }
    assert!(
        !fleet.mark_missing("e", Millis(20)),
        "its departure is certain"
    );
}

/// Guards against sending requests to an endpoint whose departure became known before its first
/// registration.
#[test]
fn an_endpoint_announced_as_leaving_is_never_ready() {
    let mut fleet = Fleet::default();
    let identity = Identity {
        id: "e".into(),
        born: 10,
    };
    fleet.record_departure(&identity, Millis(0));
    fleet.register(registration("e", 10, 1), MEMORY_TOKENS, Millis(5));
    assert_eq!(lifecycle(&fleet, "e"), Some(Lifecycle::Leaving));
}

/// Guards against dropping all endpoints when their entries expired while the store was
/// unavailable, and against keeping those that do not come back.
#[test]
fn endpoints_with_missing_entries_are_gone_only_after_a_timeout() {
    let mut fleet = Fleet::default();
    for id in ["back", "gone"] {
        fleet.register(registration(id, 10, 3), MEMORY_TOKENS, Millis(0));
        fleet.mark_missing(id, Millis(1_000));
    }
    assert_eq!(fleet.expire_missing(Millis(2_000)), []);
    assert_eq!(lifecycle(&fleet, "gone"), Some(Lifecycle::Ready));
    fleet.register(registration("back", 10, 4), MEMORY_TOKENS, Millis(2_500));
    fleet.expire_missing(Millis(4_000));
    assert_eq!(lifecycle(&fleet, "back"), Some(Lifecycle::Ready));
    assert_eq!(lifecycle(&fleet, "gone"), Some(Lifecycle::Gone));
    fleet.register(registration("gone", 10, 9), MEMORY_TOKENS, Millis(5_000));
    assert_eq!(lifecycle(&fleet, "gone"), Some(Lifecycle::Ready));
}

/// Guards against requests to endpoints that have left, from a node that could not read the store
/// shortly before and mistakes their removal for an expiry. In the simulated scenario `trouble-1`
/// of `colecta-canelones-grown`, the nodes of one failure domain stopped sending requests to such
/// endpoints up to 11 s late. After an outage of the store for all nodes most entries are missing,
/// and the endpoints keep getting requests.
#[test]
fn endpoints_with_missing_entries_get_no_requests_unless_most_are_missing() {
    struct Case {
        missing: u64,
        serving: usize,
    }
    let cases = [
        Case {
            missing: 0,
            serving: 10,
        },
        Case {
            missing: 1,
            serving: 9,
        },
        Case {
            missing: 4,
            serving: 6,
        },
        Case {
            missing: 8,
            serving: 10,
        },
        Case {
            missing: 10,
            serving: 10,
        },
    ];
    for case in cases {
        let mut fleet = fleet_of(10);
        for number in 0..case.missing {
            fleet.mark_missing(&format!("e{number}"), Millis(50));
        }
        assert_eq!(
            fleet.ready(SERVICE).count(),
            case.serving,
            "{} missing",
            case.missing
        );
        for prefix in 0..50 {
            let id = chosen(&fleet, &query(Some(&prompt(prefix, 1_000)), &[]));
            let key = fleet.find(&id).expect("registered");
            let is_missing = fleet.get(key).expect("registered").missing_since.is_some();
            assert!(
                !is_missing || case.missing > 5,
                "{id} with {} missing",
                case.missing
            );
        }
    }
}

fn prompt(prefix: u64, unique: u64) -> Prompt {
    let segment = |id, tokens| Segment { id, tokens };
    Prompt {
        input_tokens: 9_200,
        max_output_tokens: 50,
        output_hint: None,
        segments: vec![
            segment(1, 2_500),
            segment(prefix, 3_700),
            segment(unique, 3_000),
        ],
    }
}

fn query<'a>(prompt: Option<&'a Prompt>, tried: &'a [Arc<str>]) -> Query<'a> {
    Query {
        service: SERVICE,
        domain: "a",
        prompt,
        versions: &Versions::All,
        tried,
        max_connections: 100,
        pacing: Pacing::NONE,
        targets: Targets {
            latency: Millis(600),
            gap: Some(Millis(400)),
        },
        draw: 1,
    }
}

fn fleet_of(count: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        let id = format!("e{number}");
        fleet.register(registration(&id, 10, 1), MEMORY_TOKENS, Millis(0));
    }
    fleet
}

fn chosen(fleet: &Fleet, query: &Query<'_>) -> Arc<str> {
    let choice = choose(fleet, query, Millis(100)).expect("an endpoint");
    let endpoint = fleet.get(choice.key).expect("a registered endpoint");
    Arc::clone(&endpoint.registration.identity.id)
}

/// Guards against prefilling the same shared prefix at another endpoint for each request.
#[test]
fn requests_with_the_same_prefix_share_an_endpoint_on_every_node() {
    let (one, other) = (fleet_of(9), fleet_of(9));
    let mut homes = std::collections::HashSet::new();
    for prefix in 0..60 {
        let home = chosen(&one, &query(Some(&prompt(prefix, 1_000 + prefix)), &[]));
        let same = chosen(&other, &query(Some(&prompt(prefix, 2_000 + prefix)), &[]));
        assert_eq!(home, same);
        homes.insert(home);
    }
    assert!(homes.len() >= 7, "60 prefixes have {} homes", homes.len());
}

/// Guards against a queue at the home endpoint of a popular prefix while other endpoints are idle.
#[test]
fn a_popular_prefix_leaves_its_home_when_queueing_takes_longer_than_prefilling() {
    let mut fleet = fleet_of(9);
    let hot = prompt(7, 8);
    let home = chosen(&fleet, &query(Some(&hot), &[]));
    let key = fleet.find(&home).expect("the home");
    let endpoint = fleet.get_mut(key).expect("the home");
    endpoint.prefixes.insert(hot.shared_segments(), Millis(50));
    endpoint.pending_tokens = 60_000;
    let second = chosen(&fleet, &query(Some(&hot), &[]));
    assert_ne!(home, second);
}

/// Guards against a second attempt at the same endpoint, and against requests to a leaving
/// endpoint.
#[test]
fn endpoints_that_were_tried_or_leave_are_not_chosen() {
    let mut fleet = fleet_of(3);
    fleet.remove("e2", Millis(50));
    let tried = ["e0".into()];
    assert_eq!(&*chosen(&fleet, &query(None, &tried)), "e1");
    let all: [Arc<str>; 2] = ["e0".into(), "e1".into()];
    assert!(choose(&fleet, &query(None, &all), Millis(100)).is_none());
}

/// Guards against further requests to an endpoint that does not respond, and against never trying
/// it again.
#[test]
fn an_unresponsive_endpoint_is_blocked_and_then_tried_by_one_request() {
    let mut fleet = fleet_of(2);
    let key = fleet.find("e0").expect("registered");
    let endpoint = fleet.get_mut(key).expect("registered");
    endpoint.health.record_no_response(Millis(100));
    assert!(
        !endpoint.health.is_blocked(Millis(100), 0),
        "one failure does not block"
    );
    endpoint.health.record_no_response(Millis(100));
    assert!(endpoint.health.is_blocked(Millis(101), 0));
    assert!(
        !endpoint.health.is_blocked(Millis(600), 0),
        "one request may try it"
    );
    assert!(
        endpoint.health.is_blocked(Millis(600), 1),
        "but not a second one"
    );
    endpoint.health.record_response(false, Millis(650));
    assert!(!endpoint.health.is_blocked(Millis(651), 5));
}

/// Guards against requests to a full endpoint of a plain service while others have free slots.
#[test]
fn plain_requests_go_where_slots_are_free() {
    let mut fleet = fleet_of(2);
    let key = fleet.find("e0").expect("registered");
    let endpoint = fleet.get_mut(key).expect("registered");
    let full = Load {
        running: 64,
        waiting: 30,
        slots: 64,
        contention: None,
    };
    endpoint.record_load(full, Millis(90));
    assert_eq!(&*chosen(&fleet, &query(None, &[])), "e1");
}
