use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::meter::Demand;

/// Age from which a report is ignored; reports arrive about every second.
const MAX_AGE: Millis = Millis(5_000);

#[derive(Debug)]
struct Report {
    incarnation: u64,
    demand: Vec<(Arc<str>, Demand)>,
    received_at: Millis,
}

/// The demand that other nodes reported to the node that orders endpoints.
#[derive(Debug, Default)]
pub struct DemandReports {
    nodes: HashMap<Arc<str>, Report>,
}

impl DemandReports {
    /// Records the report of a node; it replaces the node's previous one.
    pub fn record(
        &mut self,
        node: Arc<str>,
        incarnation: u64,
        demand: Vec<(Arc<str>, Demand)>,
        now: Millis,
    ) {
        let known = self.nodes.get(&node);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        let report = Report {
            incarnation,
            demand,
            received_at: now,
        };
        self.nodes.insert(node, report);
    }

    /// Returns the demand for a service, summed over recent reports.
    #[must_use]
    pub fn demand(&self, service: &str, now: Millis) -> Demand {
        let fresh = self
            .nodes
            .values()
            .filter(|r| r.received_at + MAX_AGE > now);
        fresh
            .flat_map(|report| &report.demand)
            .filter(|(name, _)| &**name == service)
            .fold(Demand::default(), |sum, (_, demand)| sum.plus(*demand))
    }

    /// Drops reports that are too old.
    pub fn prune(&mut self, now: Millis) {
        self.nodes
            .retain(|_, report| report.received_at + MAX_AGE > now);
    }
}
