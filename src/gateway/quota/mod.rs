//! How much client accounts may ask for, over all nodes together.
//!
//! One node owns the bucket of an account and decides; the others ask it. The owner is chosen by
//! rendezvous hashing among the nodes that are heard, so that all nodes that hear each other agree.
//! [`Quotas`] answers the load of accounts whose requests are a part of a second's quota each and
//! spread over 80 nodes: no node's own part holds a single one.

mod bucket;
mod ownership;
mod quotas;
mod tolerance;

pub use self::bucket::Denial;
pub use self::quotas::{GrantReport, Quotas, Reachability};
pub use self::tolerance::Tolerance;

pub(super) use self::ownership::{Decider, GrantRequest, OwnerBackoff, answer, take};
