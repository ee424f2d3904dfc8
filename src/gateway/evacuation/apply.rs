use std::collections::BTreeMap;
use std::sync::Arc;

use slog::warn;

use crate::gateway::{Era, Node, Position, Record, Revision};

use super::{Evacuation, Evacuations};

impl Node {
    /// Applies the evacuations among records of the operator's topic that lead to a position. They are
    /// the latest records of all keys, unless they were written just now (`is_fresh`).
    pub(in crate::gateway) fn apply_evacuations(
        &self,
        records: &[Record],
        at: &Position,
        is_fresh: bool,
    ) {
        if is_fresh {
            for record in records {
                self.apply_evacuation_record(record, at.era);
            }
        } else if let Some(revision) = at.revision() {
            self.apply_evacuation_snapshot(records, revision);
        }
    }

    /// Applies the orders to evacuate among the latest records of the operator's topic.
    fn apply_evacuation_snapshot(&self, records: &[Record], at: Revision) {
        let orders: BTreeMap<_, _> = records
            .iter()
            .filter(|record| record.value.is_some())
            .filter_map(|record| Some((self.evacuated_domain(record)?, record.offset)))
            .collect();
        self.change_evacuations("list", |known| known.apply_snapshot(&orders, at));
    }

    /// Applies a record of the operator's topic if it orders an evacuation or removes such an order.
    fn apply_evacuation_record(&self, record: &Record, era: Era) {
        let Some(domain) = self.evacuated_domain(record) else {
            return;
        };
        let is_order = record.value.is_some();
        self.change_evacuations("record", |known| {
            let change = known.apply_record(&domain, is_order, era, record.offset);
            change.into_iter().collect()
        });
    }

    /// Applies what another node knows of evacuations.
    pub(in crate::gateway) fn merge_evacuations(&self, others: Vec<Evacuation>) {
        if others.is_empty() {
            return;
        }
        self.change_evacuations("node", |known| {
            let changes = others.into_iter().filter_map(|other| known.merge(other));
            changes.collect()
        });
    }

    /// Returns what other nodes have to know of evacuations.
    pub(in crate::gateway) fn known_evacuations(&self) -> Vec<Evacuation> {
        self.state().fleet.evacuations.iter().cloned().collect()
    }

    fn evacuated_domain(&self, record: &Record) -> Option<Arc<str>> {
        self.documents.evacuated_domain(record.key.as_ref()?)
    }

    /// Changes what is known of evacuations, and reports the domains whose state `change` returns.
    fn change_evacuations<F>(&self, source: &'static str, change: F)
    where
        F: FnOnce(&mut Evacuations) -> Vec<Evacuation>,
    {
        let (changes, count) = {
            let state = &mut *self.state();
            let known = &mut state.fleet.evacuations;
            (change(known), known.count())
        };
        if changes.is_empty() {
            return;
        }
        metrics::gauge!("almondpath_evacuated_domains").set(count as f64);
        for change in changes {
            warn!(self.log, "evacuation"; "domain" => &*change.domain,
                "in_force" => change.in_force, "era" => change.revision.era.0,
                "next" => change.revision.next, "source" => source);
            metrics::counter!("almondpath_evacuation_changes_total").increment(1);
        }
    }
}
