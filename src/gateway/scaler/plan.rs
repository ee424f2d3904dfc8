use std::sync::Arc;

use crate::gateway::Scale;

use super::capacity::{Capacity, steady, total};

/// Part of the time that endpoints are busy when all of them serve: bursts and the loss of a domain
/// have to fit into the rest.
const BUSY_ALL: f64 = 0.42;

/// Part of the time that endpoints which can't be reclaimed would be busy alone, until those ordered
/// in place of reclaimed ones serve.
const BUSY_STEADY: f64 = 0.7;

/// As [`BUSY_STEADY`], while no reclaimable endpoints are to be had.
const BUSY_SCARCE: f64 = 0.55;

/// Part of the places of the endpoints that are taken when all of them serve.
const PLACES_TAKEN: f64 = 0.6;

/// Part of the present endpoints that are not replaced by reclaimable ones while the demand is not
/// known.
const UNKNOWN_STEADY: f64 = 0.6;

/// Factor by which a domain may have more steady endpoints than its even share, where it is cheaper.
const UNEVEN: f64 = 1.2;

/// What a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Endpoints that would read prompts all the time; none while it is not known.
    pub busy: Option<f64>,
    /// Endpoints whose places would all be taken.
    pub occupied: f64,
    /// Whether reclaimable endpoints were refused a moment ago.
    pub spot_refused: bool,
}

/// Returns how many endpoints of each kind are wanted in each failure domain.
///
/// `found` is what was present when this node began to order; it holds while the demand is not known.
/// Endpoints stay where they are as far as possible.
#[must_use]
pub fn plan(scale: &Scale, present: &Capacity, found: &Capacity, need: Need) -> Capacity {
    let domains = u32::try_from(scale.prices.len()).unwrap_or(u32::MAX);
    let (total, floor) = match need.busy {
        Some(busy) => wanted(busy, need),
        None => {
            let part = if need.spot_refused {
                1.0
            } else {
                UNKNOWN_STEADY
            };
            let floor = (f64::from(total(found)) * part).ceil() as u32;
            (total(found), floor.min(steady(found)))
        }
    };
    let total = total.clamp(scale.min.max(1) * domains, scale.max * domains);
    let floor = match scale.spot_price {
        Some(_) => floor.clamp(1, total),
        None => total,
    };
    let mut wanted = present.clone();
    for domain in scale.prices.keys() {
        wanted.entry(Arc::clone(domain)).or_default();
    }
    spread_steady(scale, &mut wanted, floor);
    spread_spot(scale, &mut wanted, total - floor);
    wanted
}

/// Returns the number of all endpoints, and of those that can't be reclaimed.
fn wanted(busy: f64, need: Need) -> (u32, u32) {
    let count = |part: f64| (busy / part).max(need.occupied / PLACES_TAKEN * (BUSY_ALL / part));
    let floor = count(if need.spot_refused {
        BUSY_SCARCE
    } else {
        BUSY_STEADY
    });
    (count(BUSY_ALL).ceil() as u32, floor.ceil() as u32)
}

/// Adds steady endpoints where they are cheapest, and takes them away where they are dearest. No
/// domain has much more than its share.
fn spread_steady(scale: &Scale, places: &mut Capacity, wanted: u32) {
    let even = f64::from(wanted) / places.len().max(1) as f64;
    let share = (even * UNEVEN).ceil() as u32;
    let price = |domain: &Arc<str>| scale.prices.get(domain).copied().unwrap_or(f64::MAX);
    let mut have = steady(places);
    while have > wanted {
        let dearest = places
            .iter_mut()
            .filter(|(_, place)| place.steady > 0)
            .max_by(|(a, p), (b, q)| {
                let over = (p.steady > share).cmp(&(q.steady > share));
                over.then(price(a).total_cmp(&price(b))).then(a.cmp(b))
            });
        let Some((_, place)) = dearest else { return };
        place.steady -= 1;
        have -= 1;
    }
    while have < wanted {
        let cheapest = places
            .iter_mut()
            .filter(|(_, place)| place.steady < share.min(scale.max))
            .min_by(|(a, _), (b, _)| price(a).total_cmp(&price(b)).then(a.cmp(b)));
        let Some((_, place)) = cheapest else { return };
        place.steady += 1;
        have += 1;
    }
}

/// Spreads reclaimable endpoints so that the domains have equally many, within the limits of each.
fn spread_spot(scale: &Scale, places: &mut Capacity, wanted: u32) {
    for place in places.values_mut() {
        place.spot = scale.min.saturating_sub(place.steady);
    }
    let have: u32 = places.values().map(|place| place.spot).sum();
    for _ in have..wanted {
        let fewest = places
            .iter_mut()
            .filter(|(_, place)| place.steady + place.spot < scale.max)
            .min_by_key(|(domain, place)| (place.spot, place.steady, Arc::clone(domain)));
        let Some((_, place)) = fewest else { return };
        place.spot += 1;
    }
    if scale.spot_price.is_none() {
        for place in places.values_mut() {
            place.steady += std::mem::take(&mut place.spot);
        }
    }
}
