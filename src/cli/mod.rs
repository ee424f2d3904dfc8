//! The command line interface.

#[macro_use]
mod output;

mod admin;
mod call;
mod check;
mod command;
mod completions;
mod dev;
mod dump;
mod gateway;
mod generate;
mod load;
mod logger;
mod publish;
mod replay;
mod rollouts;
mod serve;
mod status;

pub use self::command::{command, run};
