//! How often nodes exchange their state, and how long news take.

use crate::clock::Millis;
use crate::gateway::Node;

/// Time between two rounds in a small cluster, and of a node that has just started.
const SMALL_CLUSTER_INTERVAL: Millis = Millis(250);

/// As [`SMALL_CLUSTER_INTERVAL`], for a large cluster, which limits the load on the readers.
const LARGE_CLUSTER_INTERVAL: Millis = Millis(600);

/// Rounds in which news of a node reach all others, and their answer reaches the node: in a large cluster
/// through its reader, another reader, and back.
const SMALL_CLUSTER_ANSWER_ROUNDS: u64 = 4;

/// As [`SMALL_CLUSTER_ANSWER_ROUNDS`], in a large cluster.
const LARGE_CLUSTER_ANSWER_ROUNDS: u64 = 6;

/// Uptime up to which a node makes short rounds, to discover the other nodes quickly.
const JOIN_PERIOD: Millis = Millis(3_000);

/// Returns the time within which the other nodes learn of what this one announces, and it learns of what
/// they announce in answer. A node that has just started may not know yet that its cluster is large.
pub(in crate::gateway) fn answer_time(is_small: bool, uptime: Millis) -> Millis {
    if is_small && uptime >= JOIN_PERIOD {
        Millis(SMALL_CLUSTER_INTERVAL.0 * SMALL_CLUSTER_ANSWER_ROUNDS)
    } else {
        Millis(LARGE_CLUSTER_INTERVAL.0 * LARGE_CLUSTER_ANSWER_ROUNDS)
    }
}

/// Returns the time between two rounds of a node.
pub(super) fn interval(node: &Node) -> Millis {
    let joining = node.clock.now() - node.started < JOIN_PERIOD;
    if joining || node.state().roster.is_small() {
        SMALL_CLUSTER_INTERVAL
    } else {
        LARGE_CLUSTER_INTERVAL
    }
}
