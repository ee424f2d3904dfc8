use std::collections::BTreeMap;
use std::sync::Arc;

use crate::gateway::{Fleet, Scale};

/// The endpoints of a service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Endpoints that can't be reclaimed.
    pub steady: u32,
    /// Endpoints that may be reclaimed.
    pub spot: u32,
}

/// The endpoints of a service by failure domain.
pub type Capacity = BTreeMap<Arc<str>, Present>;

/// Returns the number of endpoints.
#[must_use]
pub fn total(places: &Capacity) -> u32 {
    places.values().map(|place| place.steady + place.spot).sum()
}

/// Returns the number of endpoints that can't be reclaimed.
pub(super) fn steady(places: &Capacity) -> u32 {
    places.values().map(|place| place.steady).sum()
}

/// Returns the number of endpoints that may be reclaimed.
pub(super) fn spot(places: &Capacity) -> u32 {
    places.values().map(|place| place.spot).sum()
}

/// Raises `most` to the numbers of `present`; returns whether any was higher.
pub(super) fn raise_to(most: &mut Capacity, present: &Capacity) -> bool {
    let mut raised = false;
    for (domain, place) in present {
        let known = most.entry(Arc::clone(domain)).or_default();
        raised |= place.steady > known.steady || place.spot > known.spot;
        known.steady = known.steady.max(place.steady);
        known.spot = known.spot.max(place.spot);
    }
    raised
}

/// Returns the endpoints of a service that take requests, by failure domain.
pub(super) fn ready_capacity(fleet: &Fleet, service: &str, scale: &Scale) -> Capacity {
    let domains = scale.prices.keys();
    let mut present: Capacity = domains
        .map(|domain| (Arc::clone(domain), Present::default()))
        .collect();
    for (_, endpoint) in fleet.ready(service) {
        let registration = &endpoint.registration;
        if let Some(place) = present.get_mut(&registration.domain) {
            *(if registration.spot {
                &mut place.spot
            } else {
                &mut place.steady
            }) += 1;
        }
    }
    present
}
