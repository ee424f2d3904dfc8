//! Host mixes and host starts.

use almondpath::clock::Millis;
use almondpath::error::ErrorKind;
use almondpath::placement::{Class, Offer, Requirements, Starter, plan, simulation};
use almondpath::provider::{HostControl, Http, StartHost, WeightStore};
use almondpath::transport;
use almondpath::verdict::Verdict;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::harness::{eventually, start_double};

fn offers(refused: &[(&str, Class)]) -> Vec<Offer> {
    let prices = [
        ("a", Class::Reclaimable, 1.0),
        ("b", Class::Reclaimable, 1.3),
        ("c", Class::Reclaimable, 1.1),
        ("a", Class::OnDemand, 3.0),
        ("b", Class::OnDemand, 3.1),
        ("c", Class::OnDemand, 3.2),
    ];
    let offer = |(domain, class, price): (&str, Class, f64)| Offer {
        domain: domain.into(),
        class,
        price,
        refused: refused.contains(&(domain, class)),
        running: 0,
    };
    prices.into_iter().map(offer).collect()
}

const REQUIREMENTS: Requirements = Requirements {
    hosts: 10,
    max_domain_share: 0.4,
    min_surviving_share: 0.5,
};

/// Guards against a mix that no longer satisfies the requirements after the loss of one failure
/// domain or after a second reclaim wave, and against a plan that includes refused starts.
#[test]
fn a_mix_survives_the_loss_of_the_largest_domain() {
    use Class::{OnDemand, Reclaimable};
    struct Case {
        name: &'static str,
        refused: Vec<(&'static str, Class)>,
        feasible: bool,
    }
    let case = |name, refused: &[(&'static str, Class)], feasible| Case {
        name,
        refused: refused.to_vec(),
        feasible,
    };
    let cases = [
        case("all offers", &[], true),
        case("one class refused", &[("a", Reclaimable)], true),
        case(
            "all reclaimable refused",
            &[("a", Reclaimable), ("b", Reclaimable), ("c", Reclaimable)],
            true,
        ),
        case(
            "a domain refused",
            &[("a", Reclaimable), ("a", OnDemand)],
            false,
        ),
    ];
    for case in cases {
        let offers = offers(&case.refused);
        let mix = plan(&offers, REQUIREMENTS);
        assert_eq!(mix.feasible, case.feasible, "{}", case.name);
        for (offer, count) in offers.iter().zip(&mix.counts) {
            assert!(!offer.refused || *count == 0, "{}", case.name);
        }
        if !case.feasible {
            continue;
        }
        let remaining = |lost: &[&str], class: Option<Class>| -> u32 {
            let hosts = offers.iter().zip(&mix.counts);
            let gone = |o: &Offer| lost.contains(&&*o.domain) && class.is_none_or(|c| c == o.class);
            hosts
                .filter(|(o, _)| !gone(o))
                .map(|(_, count)| count)
                .sum()
        };
        for domain in ["a", "b", "c"] {
            assert!(remaining(&[domain], None) >= 10, "{}", case.name);
        }
        for pair in [["a", "b"], ["b", "c"], ["a", "c"]] {
            assert!(remaining(&pair, Some(Reclaimable)) >= 5, "{}", case.name);
        }
    }
}

/// Guards against a host that is started twice after a lost response, and against a burst of starts
/// that exceeds the rate limit of the weight store.
#[test]
fn starts_keep_their_token_and_the_rate_limit() {
    let mut starter = Starter::new(Millis(2_000));
    let tokens: Vec<Uuid> = (1..=4).map(Uuid::from_u128).collect();
    tokens.iter().for_each(|token| starter.add(0, *token));
    let mut requested = Vec::new();
    for now in (0..12_000).step_by(100).map(Millis) {
        while let Some(start) = starter.next(now) {
            // The response to the first start is lost; all others are confirmed.
            if start.token != tokens[0] || requested.iter().any(|(_, t)| *t == start.token) {
                starter.started(start.token);
            }
            requested.push((now, start.token));
        }
    }
    let first: Vec<Millis> = tokens
        .iter()
        .map(|token| {
            requested
                .iter()
                .find(|(_, t)| t == token)
                .expect("requested")
                .0
        })
        .collect();
    assert_eq!(first, [0, 2_000, 4_000, 6_000].map(Millis));
    let attempts = requested.iter().filter(|(_, t)| *t == tokens[0]);
    assert_eq!(attempts.count(), 2);
    assert_eq!(starter.pending(0), 0);

    starter.add(1, Uuid::from_u128(9));
    for now in (20_000..60_000).step_by(1_000).map(Millis) {
        starter.next(now);
    }
    assert_eq!(starter.give_up(), [Uuid::from_u128(9)]);
}

/// Guards against a mix that is hardly cheaper than on-demand hosts, or that a reclaim wave leaves
/// with too few hosts.
#[test]
fn the_mix_is_cheap_and_survives_waves() {
    for seed in 1..=5 {
        let rows = simulation::run(seed, &offers(&[]), REQUIREMENTS);
        println!("seed {seed}: {rows:?}");
        let [policy, on_demand, cheapest] = &rows[..] else {
            panic!("three rows");
        };
        assert!(policy.within_percent >= 99.0);
        assert!(policy.within_percent >= cheapest.within_percent);
        assert!(policy.cost <= 0.75 * on_demand.cost);
    }
}

/// Guards against a second host for a start whose response was lost, and against refusals that are
/// reported as unknown outcomes.
#[tokio::test(flavor = "multi_thread")]
async fn the_platform_starts_one_host_per_token() {
    let platform_double = start_double("platform");
    let http = transport::Client::new(Millis(2_000));
    let platform = Http::new(platform_double.address);
    let started = async || -> usize {
        let list: Vec<Value> = http
            .get_json(platform_double.address, "/starts")
            .await
            .expect("a list");
        list.len()
    };
    let faults = async |faults: Value| {
        let set = http.post_json::<_, Value>(platform_double.address, "/faults", &faults);
        set.await.expect("the faults are accepted");
    };
    eventually("the platform listens", async || {
        tokio::net::TcpStream::connect(platform_double.address)
            .await
            .is_ok()
    })
    .await;
    let start = StartHost {
        token: Uuid::from_u128(1),
        domain: "a".into(),
        class: Class::Reclaimable,
    };

    faults(json!({"refuse_starts": true})).await;
    let error = platform.start(&start).await.expect_err("refused");
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert_eq!(started().await, 0);

    faults(json!({"lose_start_answers": 1})).await;
    let error = platform
        .start(&start)
        .await
        .expect_err("the response is lost");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    platform.start(&start).await.expect("retried");
    assert_eq!(started().await, 1);
    platform.cancel(start.token).await.expect("cancelled");
    assert_eq!(started().await, 0);

    faults(json!({"fetch_interval_ms": 60_000})).await;
    platform.fetch("v2").await.expect("the first fetch");
    let error = platform.fetch("v2").await.expect_err("at the limit");
    assert_eq!(error.kind(), ErrorKind::Overloaded);
    assert!(error.retry_after().is_some());
}
