use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::{Fleet, Order, Scale};

use super::capacity::{self, Capacity, spot, steady, total};
use super::meter::Demand;
use super::plan::plan;
use super::target::Target;

/// Time after an order until its endpoints have to be listed, beyond their start.
const LISTED_AFTER: Millis = Millis(3_000);

/// Time after a refused order until it is given again.
const REFUSED_PAUSE: Millis = Millis(3_000);

/// Time for which a refusal says that reclaimable endpoints are not to be had; longer than
/// [`REFUSED_PAUSE`] and a call.
const SCARCE_FOR: Millis = Millis(4_500);

/// Time after an order until it is given again because some of its endpoints went.
const REPLACED_AFTER: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    at: Millis,
    refused: bool,
    /// Most endpoints that were present since.
    most: u32,
}

/// The orders that this node gave while it held the lease.
#[derive(Debug, Default)]
pub struct Scaler {
    given: HashMap<Order, Given>,
    aims: HashMap<Arc<str>, Target>,
}

impl Scaler {
    /// Returns the endpoints of a service by failure domain.
    #[must_use]
    pub fn ready_capacity(fleet: &Fleet, service: &str, scale: &Scale) -> Capacity {
        capacity::ready_capacity(fleet, service, scale)
    }

    /// Returns the orders to give now for a service whose endpoints have so many places each.
    pub fn decide(
        &mut self,
        service: &Arc<str>,
        scale: &Scale,
        slots: u32,
        present: &Capacity,
        demand: Demand,
        now: Millis,
    ) -> Vec<(Order, u32)> {
        let refused = self.is_refused(service, now);
        let aim = self.aims.entry(Arc::clone(service)).or_default();
        let mut need = aim.need(demand, slots, now);
        let Some(found) = aim.found(present, now) else {
            return Vec::new();
        };
        let goal = aim.goal.clone().filter(|_| need.busy.is_some());
        let base = goal.unwrap_or_else(|| found.clone());
        need.spot_refused = refused && spot(present) < spot(&base);
        let wanted = plan(scale, &base, &found, need);
        let goal = aim.move_goal(wanted, now);
        // Endpoints are given up only for others that serve; where none are to be had, the goal has
        // as many steady ones as are needed without.
        let mut spare = if need.spot_refused {
            steady(present).saturating_sub(steady(&goal))
        } else {
            let starting = if demand.is_none() {
                self.starting(service, present)
            } else {
                0
            };
            (total(present) + starting).saturating_sub(total(&goal))
        };
        let mut orders = Vec::new();
        for (domain, place) in &goal {
            let here = present.get(domain).cloned().unwrap_or_default();
            let surplus = here.steady.saturating_sub(place.steady).min(spare);
            spare -= surplus;
            let wanted_steady = place.steady.max(here.steady - surplus);
            let kinds = [
                (true, place.spot, here.spot),
                (false, wanted_steady, here.steady),
            ];
            for (spot, want, have) in kinds {
                let order = Order {
                    service: Arc::clone(service),
                    domain: Arc::clone(domain),
                    spot,
                };
                if self.is_due(&order, want, have, scale, now) {
                    orders.push((order, want));
                }
            }
        }
        orders
    }

    /// Returns how many reclaimable endpoints were ordered and are not there yet. While there are no
    /// requests, others need not wait for them.
    fn starting(&self, service: &str, present: &Capacity) -> u32 {
        let orders = self
            .given
            .iter()
            .filter(|(order, given)| order.spot && &*order.service == service && !given.refused);
        let missing = orders.map(|(order, given)| {
            let here = present.get(&order.domain).map_or(0, |place| place.spot);
            given.count.saturating_sub(here)
        });
        missing.sum()
    }

    /// Returns whether reclaimable endpoints of a service were refused a moment ago.
    fn is_refused(&self, service: &str, now: Millis) -> bool {
        self.given.iter().any(|(order, given)| {
            order.spot && &*order.service == service && given.refused && given.at + SCARCE_FOR > now
        })
    }

    fn is_due(&mut self, order: &Order, want: u32, have: u32, scale: &Scale, now: Millis) -> bool {
        let Some(given) = self.given.get_mut(order) else {
            return want != have;
        };
        given.most = given.most.max(have);
        let passed = now - given.at;
        if given.refused {
            return want != have && passed >= REFUSED_PAUSE;
        }
        if given.count != want {
            return true;
        }
        // The platform does not replace what was reclaimed or crashed.
        let wait = if have < given.most {
            REPLACED_AFTER
        } else {
            scale.boot_time + LISTED_AFTER
        };
        want > have && passed >= wait
    }

    /// Notes an order that was given.
    pub fn record_order(&mut self, order: Order, count: u32, refused: bool, now: Millis) {
        let given = Given {
            count,
            at: now,
            refused,
            most: 0,
        };
        self.given.insert(order, given);
    }

    /// Forgets what was given and found, because another node may have given orders since.
    pub fn reset(&mut self) {
        self.given.clear();
        for aim in self.aims.values_mut() {
            aim.reset();
        }
    }
}
