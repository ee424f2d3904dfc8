//! The questionnaire that a team answers about its services, and the configuration generated from
//! the answers.

mod answers;
mod generated;

pub use self::answers::{Account, Answers, Request, Service, Size};
pub use self::generated::{Derivation, Generated};
