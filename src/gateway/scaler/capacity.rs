use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gateway::rollout::Versions;
use crate::gateway::{Fleet, Order, Scale};

/// Number of endpoints of a service in one failure domain. Its `Debug` form appears in the `orders`
/// log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Steady endpoints, which the cloud can't reclaim.
    pub steady: u32,
    /// Spot endpoints, which the cloud may reclaim.
    pub spot: u32,
}

/// Number of endpoints of a service by failure domain.
pub type Capacity = BTreeMap<Arc<str>, Present>;

/// Returns the number of endpoints.
#[must_use]
pub fn total(capacity: &Capacity) -> u32 {
    capacity
        .values()
        .map(|counts| counts.steady + counts.spot)
        .sum()
}

/// Returns the number of steady endpoints.
pub(super) fn steady(capacity: &Capacity) -> u32 {
    capacity.values().map(|counts| counts.steady).sum()
}

/// Returns the number of spot endpoints.
pub(super) fn spot(capacity: &Capacity) -> u32 {
    capacity.values().map(|counts| counts.spot).sum()
}

/// Raises each number in `most` to that in `present`; returns whether any was raised.
pub(super) fn raise_to(most: &mut Capacity, present: &Capacity) -> bool {
    let mut raised = false;
    for (domain, counts) in present {
        let known = most.entry(Arc::clone(domain)).or_default();
        raised |= counts.steady > known.steady || counts.spot > known.spot;
        known.steady = known.steady.max(counts.steady);
        known.spot = known.spot.max(counts.spot);
    }
    raised
}

/// Returns the number of endpoints in a failure domain.
pub(super) fn all_of(capacity: &Capacity, domain: &str) -> u32 {
    let counts = capacity.get(domain);
    counts.map_or(0, |counts| counts.steady + counts.spot)
}

/// Returns the number of endpoints that an order is about.
pub(super) fn count_of(capacity: &Capacity, order: &Order) -> u32 {
    let counts = capacity.get(&order.domain);
    counts.map_or(0, |counts| {
        if order.spot {
            counts.spot
        } else {
            counts.steady
        }
    })
}

/// Counts the endpoints of a service that accept requests and have one of these versions, by failure
/// domain.
pub(super) fn ready_capacity(
    fleet: &Fleet,
    service: &str,
    versions: &Versions,
    scale: &Scale,
) -> Capacity {
    let domains = scale.prices.keys();
    let mut capacity: Capacity = domains
        .map(|domain| (Arc::clone(domain), Present::default()))
        .collect();
    for (_, endpoint) in fleet.ready(service) {
        let registration = &endpoint.registration;
        if !versions.admits(&registration.version) {
            continue;
        }
        if let Some(counts) = capacity.get_mut(&registration.domain) {
            *(if registration.spot {
                &mut counts.spot
            } else {
                &mut counts.steady
            }) += 1;
        }
    }
    capacity
}
