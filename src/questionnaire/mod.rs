//! A team's answers about its services, and the configuration generated from them.

mod answers;
mod generated;

pub use self::answers::{Account, Answers, Request, Service, Size};
pub use self::generated::{Derivation, Generated};
