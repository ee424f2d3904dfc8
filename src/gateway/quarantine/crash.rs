use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// A request that was broken off before its first event. All times are wall times of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the run of the endpoint.
    pub endpoint: u64,
    /// Segment that identifies the request across its attempts.
    pub request: u64,
    /// Segments that the request shares with others.
    pub segments: Vec<u64>,
    /// When it was broken off.
    pub at: Millis,
}

/// The latest success of a request with a suspected segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Success {
    /// The segment.
    pub segment: u64,
    /// When the first event arrived.
    pub at: Millis,
}

/// A segment whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The segment.
    pub segment: u64,
    /// Until when its requests are refused.
    pub until: Millis,
}

/// What a node tells the others about suspected segments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Crashes that this node has seen lately.
    pub crashes: Vec<Crash>,
    /// Successes of this node's requests with segments that any node suspects.
    pub successes: Vec<Success>,
    /// Segments in quarantine.
    pub quarantined: Vec<Quarantined>,
}
