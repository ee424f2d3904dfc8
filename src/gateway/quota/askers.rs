use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// Minimum time without a question after which a node may count as silent.
const MIN_SILENCE: Millis = Millis(300);

/// Time without a question after which a node counts as silent, as a multiple of its mean interval.
const SILENCE_FACTOR: f64 = 6.0;

/// Number of questions from which the mean interval of a node is known.
const MIN_QUESTIONS: u32 = 5;

/// Weight of a new interval in the mean.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Time for which a node is remembered; by then, failure detection knows whether it is alive.
const RETENTION: Millis = Millis(6_000);

/// A node that asks for decisions.
#[derive(Debug)]
struct Asker {
    asked_at: Millis,
    questions: u32,
    mean_interval_ms: f64,
}

impl Asker {
    fn ask(&mut self, now: Millis) {
        let interval = (now - self.asked_at).as_f64();
        self.mean_interval_ms += SMOOTHING_FACTOR * (interval - self.mean_interval_ms);
        self.questions += 1;
        self.asked_at = now;
    }

    /// Returns since when questions that came steadily have been missing; none if they are not.
    fn silent_since(&self, now: Millis) -> Option<Millis> {
        let usual = Millis((self.mean_interval_ms * SILENCE_FACTOR) as u64);
        let due = self.asked_at + usual.max(MIN_SILENCE);
        (self.questions >= MIN_QUESTIONS && due <= now).then_some(due)
    }
}

/// The nodes that ask the owner of an account's bucket for decisions.
///
/// They show sooner than failure detection which part of the cluster the owner serves.
#[derive(Debug, Default)]
pub(super) struct Askers {
    nodes: HashMap<Arc<str>, Asker>,
}

impl Askers {
    /// Records a question of a node.
    pub(super) fn record(&mut self, node: &Arc<str>, now: Millis) {
        let first = || Asker {
            asked_at: now,
            questions: 0,
            mean_interval_ms: 0.0,
        };
        let asker = self.nodes.entry(Arc::clone(node)).or_insert_with(first);
        asker.ask(now);
    }

    /// Returns whether a node has asked since a time.
    pub(super) fn has_asked(&self, node: &str, since: Millis) -> bool {
        let asker = self.nodes.get(node);
        asker.is_some_and(|asker| asker.asked_at >= since)
    }

    /// Returns the nodes that asked steadily and have stopped, and when each of them would have asked
    /// again at the latest.
    pub(super) fn silent(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, Millis)> {
        let nodes = self.nodes.iter();
        nodes.filter_map(move |(node, asker)| Some((node, asker.silent_since(now)?)))
    }

    /// Forgets nodes that have not asked for long; returns whether any is left.
    pub(super) fn prune(&mut self, now: Millis) -> bool {
        self.nodes
            .retain(|_, asker| asker.asked_at + RETENTION > now);
        !self.nodes.is_empty()
    }
}
