use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::gateway::{Era, Revision};

use super::Evacuation;

/// Maximum number of domains whose removed orders are remembered.
const MAX_REMOVED: usize = 64;

/// The failure domains that an operator has evacuated, and those whose orders were removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    domains: BTreeMap<Arc<str>, Evacuation>,
}

/// Lookup.
impl Evacuations {
    /// Returns whether the endpoints of a failure domain get no requests.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        let known = self.domains.get(domain);
        known.is_some_and(|known| known.in_force)
    }

    /// Returns the number of evacuated failure domains.
    #[must_use]
    pub fn count(&self) -> usize {
        self.iter().filter(|known| known.in_force).count()
    }

    /// Returns what is known of all domains.
    pub fn iter(&self) -> impl Iterator<Item = &Evacuation> {
        self.domains.values()
    }
}

/// Changes. Each one returns what it changed: domains that are now evacuated, or no longer.
impl Evacuations {
    /// Applies what another node knows.
    pub fn merge(&mut self, evacuation: Evacuation) -> Option<Evacuation> {
        let known = self.domains.get(&evacuation.domain);
        if known.is_some_and(|known| !evacuation.replaces(known)) {
            return None;
        }
        let was_in_force = known.is_some_and(|known| known.in_force);
        let is_change = was_in_force != evacuation.in_force;
        let domain = Arc::clone(&evacuation.domain);
        self.domains.insert(domain, evacuation.clone());
        self.limit_removed();
        is_change.then_some(evacuation)
    }

    /// Applies a record at this offset: an order, or the removal of one.
    pub fn apply_record(
        &mut self,
        domain: &Arc<str>,
        is_order: bool,
        era: Era,
        offset: u64,
    ) -> Option<Evacuation> {
        let known = self.domains.get(domain);
        let order = known.map_or(offset, |known| known.order);
        self.merge(Evacuation {
            domain: Arc::clone(domain),
            in_force: is_order,
            order: if is_order { offset } else { order },
            revision: Revision::of_record(era, offset),
        })
    }

    /// Applies all orders as of a revision, with their offsets: the others were removed.
    ///
    /// A restore of the store may have lost an order, or the removal of one. What was known before
    /// the restore then holds until the operator's next record for the domain.
    pub fn apply_snapshot(
        &mut self,
        orders: &BTreeMap<Arc<str>, u64>,
        at: Revision,
    ) -> Vec<Evacuation> {
        let known: BTreeSet<_> = self.domains.keys().cloned().collect();
        let domains = orders.keys().cloned().collect::<BTreeSet<_>>();
        let changes = known.union(&domains).filter_map(|domain| {
            let evacuation = self.in_snapshot(domain, orders.get(domain).copied(), at)?;
            self.merge(evacuation)
        });
        changes.collect()
    }

    /// Returns what a snapshot says of a domain that has this order in it, if it says anything.
    fn in_snapshot(
        &self,
        domain: &Arc<str>,
        order: Option<u64>,
        at: Revision,
    ) -> Option<Evacuation> {
        let known = self.domains.get(domain);
        let before_restore = known.filter(|known| known.revision.era < at.era);
        let removed = |order| Evacuation {
            domain: Arc::clone(domain),
            in_force: false,
            order,
            revision: at,
        };
        let Some(offset) = order else {
            let known = known.filter(|_| before_restore.is_none())?;
            return Some(removed(known.order));
        };
        if before_restore.is_some_and(|known| !known.in_force && known.order == offset) {
            return Some(removed(offset));
        }
        Some(Evacuation {
            domain: Arc::clone(domain),
            in_force: true,
            order: offset,
            revision: Revision::of_record(at.era, offset),
        })
    }

    /// Forgets the oldest of too many removed orders.
    fn limit_removed(&mut self) {
        let removed = self.domains.values().filter(|known| !known.in_force);
        if removed.clone().count() <= MAX_REMOVED {
            return;
        }
        let oldest = removed.min_by_key(|known| known.revision);
        if let Some(domain) = oldest.map(|known| Arc::clone(&known.domain)) {
            self.domains.remove(&domain);
        }
    }
}
