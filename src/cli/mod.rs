//! The command line.

mod call;
mod check;
mod command;
mod completions;
mod dev;
mod generate;
mod load;
mod logger;
mod publish;
mod replay;
mod serve;

pub use self::command::{command, run};
