//! Choice of hosts: how many of which class to hold in which failure domain.
//!
//! Pure functions. [`plan`] returns the cheapest mix found that still serves the demand when the
//! largest failure domain is lost; [`Starter`] turns the difference to the present hosts into
//! starts that respect the weight store's rate and that survive lost answers.

mod mix;
mod offer;
pub mod simulation;
mod starter;

pub use self::mix::{Mix, Requirements, plan};
pub use self::offer::{Class, Offer};
pub use self::starter::{Start, Starter, Token};
