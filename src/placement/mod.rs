//! Host placement: how many hosts of which class to run in which failure domain.
//!
//! The functions are pure. [`plan`] returns a cheap mix of hosts that still serves the demand after
//! the loss of the largest failure domain. [`Starter`] schedules the starts of missing hosts so
//! that they respect the rate limit of the weight store and tolerate lost responses.

mod mix;
mod offer;
pub mod simulation;
mod starter;

pub use self::mix::{Mix, Requirements, plan};
pub use self::offer::{Class, Offer};
pub use self::starter::{Start, Starter, Token};
