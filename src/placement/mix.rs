use super::{Class, Offer};

/// Maximum number of hosts of a plan; a demand that needs more can't be served with the offers.
const MAX_HOSTS: u32 = 10_000;

/// Requirements that a mix of hosts has to satisfy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Number of hosts that serve the demand within the latency target.
    pub hosts: u32,
    /// Maximum share of all hosts in one failure domain, 0 to 1.
    pub max_domain_share: f64,
    /// Share of `hosts`, 0 to 1, that must remain after the loss of all reclaimable hosts in the
    /// two failure domains with the most of them. A reclaim wave may hit a second domain before the
    /// replacements for the first have started.
    pub min_surviving_share: f64,
}

/// Number of hosts per offer, in the order of the offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mix {
    /// Number of hosts per offer.
    pub counts: Vec<u32>,
    /// Whether the mix satisfies the requirements; all hosts that can be started may be too few.
    pub feasible: bool,
}

impl Mix {
    /// Returns the price of the mix per hour.
    #[must_use]
    pub fn price(&self, offers: &[Offer]) -> f64 {
        let counts = self.counts.iter().zip(offers);
        counts.map(|(count, o)| f64::from(*count) * o.price).sum()
    }
}

/// Returns a cheap mix that satisfies the requirements after the loss of the largest failure
/// domain.
///
/// This is a greedy search. Hosts are added one by one, each at the cheapest offer in the failure
/// domain with the fewest hosts. A domain in which starts are refused keeps the hosts it has, and
/// the others grow instead. Reclaimable hosts are then replaced by on-demand ones, those with the
/// smallest difference in price first, until the minimum share survives a reclaim wave.
#[must_use]
pub fn plan(offers: &[Offer], requirements: Requirements) -> Mix {
    let mut counts = vec![0; offers.len()];
    let mut feasible = false;
    for _ in 0..MAX_HOSTS {
        if survives(offers, &counts, requirements) {
            feasible = true;
            break;
        }
        let Some(next) = cheapest_addition(offers, &counts) else {
            break;
        };
        counts[next] += 1;
    }
    while feasible && !keeps_surviving_share(offers, &counts, requirements) {
        let Some((from, to)) = cheapest_replacement(offers, &counts) else {
            feasible = false;
            break;
        };
        counts[from] -= 1;
        counts[to] += 1;
    }
    Mix { counts, feasible }
}

/// Returns the number of hosts per failure domain, for the offers that `keep` selects.
fn domains<'a, F>(offers: &'a [Offer], counts: &[u32], keep: F) -> Vec<(&'a str, u32)>
where
    F: Fn(&Offer) -> bool,
{
    let mut domains: Vec<(&str, u32)> = Vec::new();
    for (offer, count) in offers.iter().zip(counts) {
        let count = if keep(offer) { *count } else { 0 };
        match domains.iter_mut().find(|(name, _)| *name == &*offer.domain) {
            Some((_, sum)) => *sum += count,
            None => domains.push((&offer.domain, count)),
        }
    }
    domains
}

/// Returns whether enough hosts remain without the largest failure domain, and whether that domain
/// is within its maximum share.
fn survives(offers: &[Offer], counts: &[u32], requirements: Requirements) -> bool {
    let all: u32 = counts.iter().sum();
    let largest = domains(offers, counts, |_| true);
    let largest = largest.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let capped = f64::from(largest) <= (requirements.max_domain_share * f64::from(all)).ceil();
    all - largest >= requirements.hosts && capped
}

/// Returns whether enough hosts survive a reclaim of the two most exposed failure domains.
fn keeps_surviving_share(offers: &[Offer], counts: &[u32], requirements: Requirements) -> bool {
    let all: u32 = counts.iter().sum();
    let exposed = domains(offers, counts, |offer| offer.class == Class::Reclaimable);
    let mut exposed: Vec<u32> = exposed.into_iter().map(|(_, count)| count).collect();
    exposed.sort_unstable_by(|a, b| b.cmp(a));
    let lost: u32 = exposed.iter().take(2).sum();
    f64::from(all - lost) >= requirements.min_surviving_share * f64::from(requirements.hosts)
}

/// Returns the cheapest offer in the smallest failure domain that has one.
fn cheapest_addition(offers: &[Offer], counts: &[u32]) -> Option<usize> {
    let domains = domains(offers, counts, |_| true);
    let size = |offer: &Offer| {
        let domain = domains.iter().find(|(name, _)| *name == &*offer.domain);
        domain.map_or(0, |(_, count)| *count)
    };
    let available = offers.iter().zip(counts).enumerate();
    available
        .filter(|(_, (offer, count))| !offer.refused || **count < offer.running)
        .min_by(|(_, (a, _)), (_, (b, _))| {
            size(a)
                .cmp(&size(b))
                .then(a.price.total_cmp(&b.price))
                .then(a.class.cmp(&b.class))
        })
        .map(|(index, _)| index)
}

/// Returns the replacement of a reclaimable host by an on-demand one in the same failure domain
/// with the smallest difference in price, as a pair of offers.
///
/// Only the failure domains with the most reclaimable hosts are considered.
fn cheapest_replacement(offers: &[Offer], counts: &[u32]) -> Option<(usize, usize)> {
    let exposed = domains(offers, counts, |offer| offer.class == Class::Reclaimable);
    let size = |offer: &Offer| {
        let domain = exposed.iter().find(|(name, _)| *name == &*offer.domain);
        domain.map_or(0, |(_, count)| *count)
    };
    let largest = exposed.iter().map(|(_, count)| *count).max()?;
    let mut pairs = Vec::new();
    for (from, offer) in offers.iter().enumerate() {
        let reclaimable = offer.class == Class::Reclaimable && counts[from] > 0;
        if !reclaimable || size(offer) < largest {
            continue;
        }
        for (to, other) in offers.iter().enumerate() {
            let startable = !other.refused || counts[to] < other.running;
            if other.class == Class::OnDemand && startable && other.domain == offer.domain {
                pairs.push((from, to, other.price - offer.price));
            }
        }
    }
    let cheapest = pairs.into_iter().min_by(|a, b| a.2.total_cmp(&b.2))?;
    Some((cheapest.0, cheapest.1))
}
