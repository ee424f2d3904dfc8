//! Time in milliseconds, from the operating system or from a clock that is set manually.
//!
//! Decision functions take a [`Millis`] as an argument and never read a clock, so that replays and
//! tests run the same code as production.

mod clock;
mod millis;

pub use self::clock::Clock;
pub use self::millis::Millis;
