use std::sync::Arc;

use crate::gateway::Scale;

use super::capacity::{Capacity, steady, total};

/// Target utilization of all endpoints together; the rest is headroom for bursts and the loss of a
/// domain.
const TARGET_UTILIZATION: f64 = 0.42;

/// Utilization at which the steady endpoints could carry the demand alone, until replacements for
/// reclaimed endpoints serve.
const STEADY_UTILIZATION: f64 = 0.7;

/// As [`STEADY_UTILIZATION`], while the platform has no spot endpoints.
const STEADY_UTILIZATION_WITHOUT_SPOT: f64 = 0.55;

/// Target share of occupied slots when all endpoints serve.
const SLOT_UTILIZATION: f64 = 0.6;

/// Share of the baseline that stays steady while the demand is not known.
const UNKNOWN_STEADY_SHARE: f64 = 0.6;

/// Factor by which a cheaper domain may have more steady endpoints than its even share.
const MAX_UNEVENNESS: f64 = 1.2;

/// The capacity that a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Prefill work, as a number of fully busy endpoints; `None` while the demand is not known.
    pub busy: Option<f64>,
    /// Running requests, as a number of endpoints with all slots occupied.
    pub occupied: f64,
    /// Whether the platform recently refused an order for spot endpoints.
    pub spot_refused: bool,
}

/// Returns the number of steady and spot endpoints wanted in each failure domain that has a price.
///
/// `baseline` is the capacity before the first order, which determines the result while the demand
/// is not known. Steady endpoints stay in the domains of `current` as far as possible.
#[must_use]
pub fn plan(scale: &Scale, current: &Capacity, baseline: &Capacity, need: Need) -> Capacity {
    if scale.prices.is_empty() {
        return Capacity::new();
    }
    let domains = u32::try_from(scale.prices.len()).unwrap_or(u32::MAX);
    let (total, floor) = match need.busy {
        Some(busy) => required(busy, need),
        None => {
            let share = if need.spot_refused {
                1.0
            } else {
                UNKNOWN_STEADY_SHARE
            };
            let floor = (f64::from(total(baseline)) * share).ceil() as u32;
            (total(baseline), floor.min(steady(baseline)))
        }
    };
    let total = total.clamp(scale.min.max(1) * domains, scale.max * domains);
    let floor = match scale.spot_price {
        Some(_) => floor.clamp(1, total),
        None => total,
    };
    let mut wanted = current.clone();
    wanted.retain(|domain, _| scale.prices.contains_key(domain));
    for domain in scale.prices.keys() {
        wanted.entry(Arc::clone(domain)).or_default();
    }
    spread_steady(scale, &mut wanted, floor);
    spread_spot(scale, &mut wanted, total - floor);
    wanted
}

/// Returns the required number of endpoints, and how many of them must be steady.
fn required(busy: f64, need: Need) -> (u32, u32) {
    let endpoints = |utilization: f64| {
        (busy / utilization)
            .max(need.occupied / SLOT_UTILIZATION * (TARGET_UTILIZATION / utilization))
    };
    let floor = endpoints(if need.spot_refused {
        STEADY_UTILIZATION_WITHOUT_SPOT
    } else {
        STEADY_UTILIZATION
    });
    (
        endpoints(TARGET_UTILIZATION).ceil() as u32,
        floor.ceil() as u32,
    )
}

/// Adds steady endpoints in the cheapest domains, or removes them from the most expensive ones. A
/// domain gets at most [`MAX_UNEVENNESS`] times its even share.
fn spread_steady(scale: &Scale, capacity: &mut Capacity, wanted: u32) {
    let even = f64::from(wanted) / capacity.len().max(1) as f64;
    let share = (even * MAX_UNEVENNESS).ceil() as u32;
    let price = |domain: &Arc<str>| scale.prices.get(domain).copied().unwrap_or(f64::MAX);
    let mut count = steady(capacity);
    while count > wanted {
        let most_expensive = capacity
            .iter_mut()
            .filter(|(_, counts)| counts.steady > 0)
            .max_by(|(a, p), (b, q)| {
                let over = (p.steady > share).cmp(&(q.steady > share));
                over.then(price(a).total_cmp(&price(b))).then(a.cmp(b))
            });
        let Some((_, counts)) = most_expensive else {
            return;
        };
        counts.steady -= 1;
        count -= 1;
    }
    while count < wanted {
        let cheapest = capacity
            .iter_mut()
            .filter(|(_, counts)| counts.steady < share.min(scale.max))
            .min_by(|(a, _), (b, _)| price(a).total_cmp(&price(b)).then(a.cmp(b)));
        let Some((_, counts)) = cheapest else { return };
        counts.steady += 1;
        count += 1;
    }
}

/// Spreads spot endpoints evenly over the domains, within the limits of each domain.
fn spread_spot(scale: &Scale, capacity: &mut Capacity, wanted: u32) {
    for counts in capacity.values_mut() {
        counts.spot = scale.min.saturating_sub(counts.steady);
    }
    let count: u32 = capacity.values().map(|counts| counts.spot).sum();
    for _ in count..wanted {
        let fewest = capacity
            .iter_mut()
            .filter(|(_, counts)| counts.steady + counts.spot < scale.max)
            .min_by_key(|(domain, counts)| (counts.spot, counts.steady, Arc::clone(domain)));
        let Some((_, counts)) = fewest else { return };
        counts.spot += 1;
    }
    if scale.spot_price.is_none() {
        for counts in capacity.values_mut() {
            counts.steady += std::mem::take(&mut counts.spot);
        }
    }
}
