use std::process::ExitCode;

use clap::{ArgMatches, Command};
use serde_json::{Map, Value};

use super::admin::Operator;

pub(super) fn command() -> Command {
    Command::new("dump")
        .about("Prints the state of nodes as JSON, keyed by address")
        .args(Operator::args(true))
        .after_help(
            "Example:\n  almondpath dump --admin 127.0.0.1:7101 --token-file operator.token",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let operator = Operator::new(args)?;
    let mut dumps = Map::new();
    let mut failed = false;
    for address in operator.addresses() {
        let dump = operator.get::<Value>(*address, "/admin/dump").await;
        let value = match dump {
            Ok(value) => value,
            Err(error) => {
                failed = true;
                serde_json::to_value(error)?
            }
        };
        dumps.insert(address.to_string(), value);
    }
    outln!("{}", serde_json::to_string_pretty(&dumps)?);
    Ok(ExitCode::from(u8::from(failed)))
}
