//! Quarantine of prompt segments that crash model engines.
//!
//! A segment is suspected when requests that contain it were broken off before their first event, as
//! the endpoint ended. Other requests at the same endpoint break off as well, so a single crash says
//! little: the segment must be common to most crashes, in several requests at several endpoints, and
//! no request that contains it may have succeeded. Nodes exchange crashes and successes by gossip.

mod crash;
mod quarantine;

pub use self::crash::{Crash, Evidence, Quarantined, Success};
pub use self::quarantine::{Finding, Quarantine};
