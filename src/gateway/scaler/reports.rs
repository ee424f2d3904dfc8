use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

use super::meter::Demand;

/// Age at which a report says nothing about the present any more; reports come about every second.
const MOST_AGE: Millis = Millis(5_000);

#[derive(Debug)]
struct Reported {
    incarnation: u64,
    demand: Vec<(Arc<str>, Demand)>,
    at: Millis,
}

/// What the requests of other nodes ask for, as they told the node that orders endpoints.
#[derive(Debug, Default)]
pub struct DemandReports {
    nodes: HashMap<Arc<str>, Reported>,
}

impl DemandReports {
    /// Takes in what a node said; it replaces what it said before.
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
        let reported = Reported {
            incarnation,
            demand,
            at: now,
        };
        self.nodes.insert(node, reported);
    }

    /// Returns what the requests of the nodes that said so lately ask of a service.
    #[must_use]
    pub fn demand(&self, service: &str, now: Millis) -> Demand {
        let fresh = self.nodes.values().filter(|r| r.at + MOST_AGE > now);
        fresh
            .flat_map(|reported| &reported.demand)
            .filter(|(name, _)| &**name == service)
            .fold(Demand::default(), |sum, (_, demand)| sum.plus(*demand))
    }

    /// Forgets nodes that have said nothing for long.
    pub fn prune(&mut self, now: Millis) {
        self.nodes
            .retain(|_, reported| reported.at + MOST_AGE > now);
    }
}
