use std::process::ExitCode;

use clap::{ArgMatches, Command};
use serde_json::{Map, Value};

use super::admin::AdminClient;

pub(super) fn command() -> Command {
    Command::new("dump")
        .about("Prints the state of nodes as JSON, keyed by admin address")
        .args(AdminClient::args(true))
        .after_help(
            "Example:\n  almondpath dump --admin 127.0.0.1:7101 --token-file operator.token",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let client = AdminClient::new(args)?;
    let mut dumps = Map::new();
    let mut failed = false;
    for address in client.addresses() {
        let dump = client.get::<Value>(*address, "/admin/dump").await;
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
