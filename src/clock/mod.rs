//! Time in milliseconds, from the operating system or set by hand.
//!
//! Decisions take a [`Millis`] as an argument and never read a clock, so that replays and tests
//! drive the code that serves.

mod clock;
mod millis;

pub use self::clock::Clock;
pub use self::millis::Millis;
