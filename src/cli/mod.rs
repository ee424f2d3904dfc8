//! The command line.

mod call;
mod command;
mod dev;
mod logger;
mod publish;
mod rollouts;
mod serve;

pub use self::command::{command, run};
