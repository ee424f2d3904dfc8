//! Who yields when memory or connections of callers run short.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use almondpath::clock::Millis;
use almondpath::gateway::intake::{Budget, Client, Kind, Need, Share, State, choose};

const NOW: Millis = Millis(10_000);

const fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

const fn client(key: u8, admitted: bool, state: State, since: u64) -> Client<u8> {
    Client {
        key,
        address: address(key),
        admitted,
        state,
        since: Millis(since),
    }
}

const fn at(mut client: Client<u8>, last: u8) -> Client<u8> {
    client.address = address(last);
    client
}

/// Guards against ordinary callers that pay for others.
#[test]
fn the_unknown_and_the_slowest_yield_first() {
    struct Case {
        name: &'static str,
        need: Need,
        clients: Vec<Client<u8>>,
        yields: Option<u8>,
    }
    let case = |name, need, clients, yields| Case {
        name,
        need,
        clients,
        yields,
    };
    let idle = |key, admitted, since| client(key, admitted, State::Idle, since);
    let body = |key, bytes, since| client(key, true, State::Body(bytes), since);
    let response = |key, bytes, since| client(key, true, State::Response(bytes), since);
    let head = |key, since| client(key, false, State::Head, since);
    let busy = client(9, true, State::Busy, 0);
    let cases = [
        case("nobody", Need::Connections, vec![busy], None),
        case(
            "the unknown before the idle",
            Need::Connections,
            vec![idle(1, true, 1_000), idle(2, false, 9_000), busy],
            Some(2),
        ),
        case(
            "the oldest of the unknown",
            Need::Connections,
            vec![head(1, 9_000), idle(2, false, 8_000)],
            Some(2),
        ),
        case(
            "not a new one",
            Need::Connections,
            vec![idle(1, false, 9_950), busy],
            None,
        ),
        case(
            "the longest idle",
            Need::Connections,
            vec![idle(1, true, 9_000), idle(2, true, 5_000), busy],
            Some(2),
        ),
        case(
            "a slow body before the idle",
            Need::Connections,
            vec![idle(1, true, 1_000), body(2, 100, 2_000)],
            Some(2),
        ),
        case(
            "the slowest body",
            Need::Bodies,
            vec![
                body(1, 4_000, 5_000),
                body(2, 100, 5_000),
                idle(3, false, 0),
            ],
            Some(2),
        ),
        case(
            "a body at an ordinary rate stays",
            Need::Bodies,
            vec![body(1, 1_000_000, 8_000)],
            None,
        ),
        case(
            "a body that began stays",
            Need::Bodies,
            vec![body(1, 0, 9_500)],
            None,
        ),
        case(
            "bodies do not yield to responses",
            Need::Responses,
            vec![body(1, 0, 5_000), response(2, 100, 5_000)],
            Some(2),
        ),
        case(
            "the address with most connections",
            Need::Bodies,
            vec![
                body(1, 0, 1_000),
                at(body(2, 100, 5_000), 7),
                at(body(3, 200, 5_000), 7),
                at(body(4, 200, 5_000), 7),
            ],
            Some(2),
        ),
        case(
            "heads",
            Need::Heads,
            vec![head(1, 9_500), head(2, 8_000), idle(3, false, 0)],
            Some(2),
        ),
    ];
    for case in cases {
        let yields = choose(&case.clients, case.need, NOW);
        assert_eq!(yields, case.yields, "{}", case.name);
    }
}

fn share(budget: &Arc<Budget>, kind: Kind, last: u8) -> Share {
    Share::new(budget, kind).with_address(address(last))
}

/// Guards against one kind, or one address, that uses up the memory of others.
#[test]
fn each_kind_and_address_has_its_part() {
    let budget = Arc::new(Budget::new(8_000));
    let mut first = share(&budget, Kind::Bodies, 1);
    assert!(first.hold(1_000));
    let mut second = share(&budget, Kind::Bodies, 1);
    assert!(!second.hold(501), "three quarters of 2,000 for an address");
    assert!(second.hold(500));
    let mut other = share(&budget, Kind::Bodies, 2);
    assert!(!other.hold(501), "2,000 for bodies");
    assert!(other.hold(500));
    let mut response = share(&budget, Kind::Responses, 1);
    assert!(response.hold(1_500), "responses have their own part");
    drop(first);
    assert!(other.hold(1_500), "what is dropped is free");
}

/// Guards against a single request within the limits that is refused on a small host.
#[test]
fn the_only_holder_is_served() {
    let budget = Arc::new(Budget::new(8_000));
    let mut only = share(&budget, Kind::Bodies, 1);
    assert!(only.hold(1_000));
    assert!(only.hold(4_000));
    let mut other = share(&budget, Kind::Bodies, 2);
    assert!(!other.hold(1));
    drop(only);
    assert!(other.hold(1));
}
