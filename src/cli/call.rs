use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;

use crate::client::{Client, Progress, Reply};
use crate::verdict::Verdict;

/// Exit code of a call that did not run.
const NOT_RUN: u8 = 3;

/// Exit code of a call that may have run.
const MAY_HAVE_RUN: u8 = 4;

pub(super) fn command() -> Command {
    Command::new("call")
        .about("Calls a route and prints the response")
        .arg(
            Arg::new("route")
                .value_name("ROUTE")
                .required(true)
                .help("Name of the route"),
        )
        .arg(
            Arg::new("body")
                .value_name("BODY")
                .required(true)
                .help("Request body"),
        )
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .action(clap::ArgAction::Append)
                .default_value("127.0.0.1:7001")
                .help("Address of a node to ask; may be given several times"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File that holds the bearer token"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("UUID")
                .help("Idempotency key, a UUID of version 7"),
        )
        .after_help(
            "Exit codes: 0 done, 1 failed after it ran, 2 wrong usage, 3 not run, 4 may have run",
        )
}

pub(super) async fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let route = args.get_one::<String>("route").expect("required by clap");
    let body = args.get_one::<String>("body").expect("required by clap");
    let nodes = args
        .get_many::<SocketAddr>("node")
        .expect("has a default")
        .copied();
    let file = args
        .get_one::<PathBuf>("token-file")
        .expect("required by clap");
    let token =
        std::fs::read_to_string(file).wrap_err_with(|| format!("reading {}", file.display()))?;
    let client = Client::new(nodes.collect(), token.trim().into());
    let key = args.get_one::<String>("key").map(String::as_str);
    let result = client
        .call(route, key, Bytes::from(body.clone()), |part| {
            match part {
                Progress::Text(text) => out!("{text}"),
                Progress::Restart(text) => out!("\n(restarted)\n{text}"),
            }
            // A failure to print shows in the command's output itself.
            let _ = std::io::stdout().flush();
        })
        .await;
    match result {
        Ok(Reply::Text(_)) => outln!(""),
        Ok(Reply::Body(body)) => outln!("{}", String::from_utf8_lossy(&body)),
        Err(error) => {
            eprintln!("error: {error}");
            return Ok(ExitCode::from(match error.verdict() {
                Verdict::NotRun => NOT_RUN,
                Verdict::MayHaveRun => MAY_HAVE_RUN,
                Verdict::Ran => 1,
            }));
        }
    }
    Ok(ExitCode::SUCCESS)
}
