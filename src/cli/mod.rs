//! The command line.

mod call;
mod command;
mod dev;
mod load;
mod logger;
mod publish;
mod replay;
mod serve;

pub use self::command::{command, run};
