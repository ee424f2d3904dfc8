use std::collections::BTreeSet;
use std::sync::Arc;

use slog::{Logger, info};

use crate::clock::Millis;

use super::roster::Roster;

/// The nodes that counted as alive when this was last checked.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    alive: BTreeSet<Arc<str>>,
}

impl Liveness {
    /// Logs which nodes have come to count as alive or no longer do so since the previous call.
    pub(super) fn log_changes(&mut self, roster: &Roster, log: &Logger, now: Millis) {
        let alive = roster.alive(now).map(|m| Arc::clone(&m.announcement.node));
        let alive: BTreeSet<Arc<str>> = alive.collect();
        if alive == self.alive {
            return;
        }
        info!(log, "nodes"; "alive" => alive.len(),
            "appeared" => names(alive.difference(&self.alive)),
            "gone" => names(self.alive.difference(&alive)));
        self.alive = alive;
    }
}

fn names<'a, I>(nodes: I) -> String
where
    I: Iterator<Item = &'a Arc<str>>,
{
    let names: Vec<&str> = nodes.map(|node| &**node).collect();
    names.join(",")
}
