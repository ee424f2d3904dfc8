//! Distributed rate limits of client accounts, enforced over all nodes together.
//!
//! One node owns the token bucket of an account and decides; the other nodes ask it. The owner is
//! chosen by rendezvous hashing among the alive nodes, so that all nodes that reach each other
//! agree. A static share of the quota at each node would not do: with 80 nodes and requests that
//! each cost a fraction of a second's quota, no node's share would admit a single request.

mod ask;
mod askers;
mod bucket;
mod contacts;
mod contention;
mod delay;
mod history;
mod kinds;
mod ownership;
mod partition;
mod quotas;
mod returns;
mod room;
mod tolerance;
mod window_limit;

pub use self::ask::{Ask, Profile};
pub use self::bucket::Denial;
pub use self::contacts::Contacts;
pub use self::history::{Grant, Run, Slot};
pub use self::ownership::GrantRequest;
pub use self::partition::{Consumption, Partition, Peers};
pub use self::quotas::{GrantReport, Level, Quotas, Reachability};
pub use self::tolerance::Tolerance;

pub(super) use self::ownership::{Charge, Decider, OwnerBackoff, Succession, respond, take};
