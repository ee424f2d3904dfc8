//! Seeded simulation of a day with reclaim waves, which compares host mixes by cost and by the
//! share of requests within the latency target.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::{Class, Mix, Offer, Requirements, plan};

/// Length of the simulation in minutes.
const DURATION_MINUTES: u32 = 24 * 60;

/// Minutes until the replacements of lost hosts serve requests.
const REPLACEMENT_MINUTES: u32 = 8;

/// Result of one mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Price of the whole day.
    pub cost: f64,
    /// Share of the requests within the latency target, in percent.
    pub within_percent: f64,
}

/// Simulates three mixes under the same reclaim waves: the one from [`plan`], all on demand, and
/// only the cheapest offer.
#[must_use]
pub fn run(seed: u64, offers: &[Offer], requirements: Requirements) -> Vec<Row> {
    let waves = waves(seed, offers);
    let by_price = |keep: &dyn Fn(&Offer) -> bool| {
        let mut cheapest: Vec<usize> = (0..offers.len()).filter(|i| keep(&offers[*i])).collect();
        cheapest.sort_by(|a, b| offers[*a].price.total_cmp(&offers[*b].price));
        cheapest
    };
    let on_demand = by_price(&|offer| offer.class == Class::OnDemand);
    let cheapest = by_price(&|_| true);
    let spread = |indices: &[usize], hosts: u32| {
        let mut counts = vec![0; offers.len()];
        for host in 0..hosts as usize {
            counts[indices[host % indices.len()]] += 1;
        }
        counts
    };
    // All mixes have the same number of hosts. The on-demand mix is spread over the domains, so
    // that it also has the same reserve for a lost domain.
    let policy = plan(offers, requirements);
    let hosts: u32 = policy.counts.iter().sum();
    let mixes = [
        ("policy", policy.counts.clone()),
        ("all on demand", spread(&on_demand, hosts)),
        ("cheapest only", spread(&cheapest[..1], hosts)),
    ];
    mixes
        .into_iter()
        .map(|(name, counts)| row(name, counts, offers, requirements, &waves))
        .collect()
}

/// Returns the reclaim waves: the minute and the failure domain whose reclaimable hosts are lost.
fn waves(seed: u64, offers: &[Offer]) -> Vec<(u32, String)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut domains: Vec<String> = offers.iter().map(|o| o.domain.to_string()).collect();
    domains.sort_unstable();
    domains.dedup();
    (0..6)
        .map(|_| {
            let domain = domains[rng.random_range(0..domains.len())].clone();
            (rng.random_range(0..DURATION_MINUTES), domain)
        })
        .collect()
}

fn row(
    policy: &'static str,
    counts: Vec<u32>,
    offers: &[Offer],
    requirements: Requirements,
    waves: &[(u32, String)],
) -> Row {
    let mix = Mix {
        counts,
        feasible: true,
    };
    let (mut served, mut requested) = (0.0, 0.0);
    for minute in 0..DURATION_MINUTES {
        let lost = |offer: &Offer| {
            offer.class == Class::Reclaimable
                && waves.iter().any(|(at, domain)| {
                    *offer.domain == **domain && minute >= *at && minute < at + REPLACEMENT_MINUTES
                })
        };
        let remaining = offers.iter().zip(&mix.counts).filter(|(o, _)| !lost(o));
        let remaining: u32 = remaining.map(|(_, count)| *count).sum();
        let demand = f64::from(requirements.hosts);
        requested += demand;
        served += demand.min(f64::from(remaining));
    }
    Row {
        policy,
        cost: mix.price(offers) * f64::from(DURATION_MINUTES) / 60.0,
        within_percent: 100.0 * served / requested,
    }
}
