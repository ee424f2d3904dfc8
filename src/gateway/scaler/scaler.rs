use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::rollout::Versions;
use crate::gateway::{Fleet, Order, Scale};

use super::capacity::{self, Capacity, all_of, count_of, spot, steady, total};
use super::meter::Demand;
use super::placement::Placement;
use super::plan::plan;
use super::target::Target;

/// Time within which ordered endpoints must have registered, in addition to the boot time.
const REGISTRATION_TIME: Millis = Millis(3_000);

/// Time after which a refused order is placed again.
const REFUSAL_BACKOFF: Millis = Millis(3_000);

/// Time for which a refusal means that the platform has no spot endpoints; longer than
/// [`REFUSAL_BACKOFF`] and a call together.
const SPOT_REFUSAL_PERIOD: Millis = Millis(4_500);

/// Time after which an order is placed again because some of its endpoints are gone.
const REPLACEMENT_DELAY: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: Millis,
    refused: bool,
    /// Maximum number of endpoints seen at once since the order.
    max_present: u32,
}

/// Decides which endpoints to order, and keeps the orders placed while this node held the lease.
#[derive(Debug, Default)]
pub struct Scaler {
    orders: HashMap<Order, PlacedOrder>,
    targets: HashMap<Arc<str>, Target>,
}

impl Scaler {
    /// Counts the endpoints of a service that accept requests and have one of these versions, by
    /// failure domain.
    #[must_use]
    pub fn ready_capacity(
        fleet: &Fleet,
        service: &str,
        versions: &Versions,
        scale: &Scale,
    ) -> Capacity {
        capacity::ready_capacity(fleet, service, versions, scale)
    }

    /// Returns what to order from the cloud while endpoints of a version on trial run beside those
    /// that `orders` are about.
    ///
    /// The cloud counts both, cuts an order to the limits of the service, and would remove the
    /// endpoints on trial first: an order that leads to fewer endpoints is not placed.
    #[must_use]
    pub fn beside_trial(
        orders: Vec<(Order, u32)>,
        scale: &Scale,
        present: &Capacity,
        on_trial: &Capacity,
    ) -> Vec<Placement> {
        let has_trial = total(on_trial) > 0;
        let placements = orders.into_iter().filter_map(|(order, count)| {
            let here = count_of(present, &order);
            let trial_here = count_of(on_trial, &order);
            let in_domain = all_of(present, &order.domain) + all_of(on_trial, &order.domain);
            let within_limits = in_domain + count.saturating_sub(here) <= scale.max;
            let is_safe = !has_trial || (count >= here && within_limits);
            is_safe.then_some(Placement {
                order,
                count,
                on_trial: trial_here,
            })
        });
        placements.collect()
    }

    /// Returns the orders to place now, with the number of endpoints of each. Each endpoint has
    /// `slots` slots.
    pub fn decide(
        &mut self,
        service: &Arc<str>,
        scale: &Scale,
        slots: u32,
        present: &Capacity,
        demand: Demand,
        now: Millis,
    ) -> Vec<(Order, u32)> {
        let refused = self.is_spot_refused(service, now);
        let target = self.targets.entry(Arc::clone(service)).or_default();
        target.set_aside(|domain| scale.prices.contains_key(domain));
        let mut need = target.need(demand, slots, now);
        let Some(baseline) = target.settled_baseline(present, now) else {
            return Vec::new();
        };
        let known = target.capacity.clone().filter(|_| need.busy.is_some());
        let current = known.unwrap_or_else(|| baseline.clone());
        need.spot_refused = refused && spot(present) < spot(&current);
        let wanted = plan(scale, &current, &baseline, need);
        let target_capacity = target.adjust(wanted, now);
        // Steady endpoints are removed only in exchange for endpoints that serve already. While the
        // platform has no spot endpoints, the target contains enough steady ones to do without.
        let mut spare = if need.spot_refused {
            steady(present).saturating_sub(steady(&target_capacity))
        } else {
            let pending = if demand.is_none() {
                self.pending_spot(service, present)
            } else {
                0
            };
            (total(present) + pending).saturating_sub(total(&target_capacity))
        };
        let mut orders = Vec::new();
        for (domain, counts) in &target_capacity {
            let here = present.get(domain).cloned().unwrap_or_default();
            let surplus = here.steady.saturating_sub(counts.steady).min(spare);
            spare -= surplus;
            let wanted_steady = counts.steady.max(here.steady - surplus);
            let kinds = [
                (true, counts.spot, here.spot),
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

    /// Returns the number of spot endpoints that were ordered and don't serve yet. While there is no
    /// demand, steady endpoints may be removed before these serve.
    fn pending_spot(&self, service: &str, present: &Capacity) -> u32 {
        let pending_orders = self
            .orders
            .iter()
            .filter(|(order, placed)| order.spot && &*order.service == service && !placed.refused);
        let missing = pending_orders.filter_map(|(order, placed)| {
            // Without an entry, the domain is evacuated.
            let here = present.get(&order.domain)?.spot;
            Some(placed.count.saturating_sub(here))
        });
        missing.sum()
    }

    /// Returns whether an order for spot endpoints of a service was recently refused.
    fn is_spot_refused(&self, service: &str, now: Millis) -> bool {
        self.orders.iter().any(|(order, placed)| {
            order.spot
                && &*order.service == service
                && placed.refused
                && placed.at + SPOT_REFUSAL_PERIOD > now
        })
    }

    /// Returns whether an order for `want` endpoints has to be placed now that there are `have`.
    fn is_due(&mut self, order: &Order, want: u32, have: u32, scale: &Scale, now: Millis) -> bool {
        let Some(placed) = self.orders.get_mut(order) else {
            return want != have;
        };
        placed.max_present = placed.max_present.max(have);
        let passed = now - placed.at;
        if placed.refused {
            return want != have && passed >= REFUSAL_BACKOFF;
        }
        if placed.count != want {
            return true;
        }
        // The platform does not replace endpoints that were reclaimed or crashed.
        let wait = if have < placed.max_present {
            REPLACEMENT_DELAY
        } else {
            scale.boot_time + REGISTRATION_TIME
        };
        want > have && passed >= wait
    }

    /// Records an order that was placed, and whether the platform refused it.
    pub fn record_order(&mut self, order: Order, count: u32, refused: bool, now: Millis) {
        let placed = PlacedOrder {
            count,
            at: now,
            refused,
            max_present: 0,
        };
        self.orders.insert(order, placed);
    }

    /// Forgets orders and targets, because another node may have placed orders since.
    pub fn reset(&mut self) {
        self.orders.clear();
        for target in self.targets.values_mut() {
            target.reset();
        }
    }
}
