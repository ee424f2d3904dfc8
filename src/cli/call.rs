use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;

use crate::client::{Client, Progress, Reply};
use crate::verdict::Verdict;

/// Exit code if the call did not run.
const EXIT_NOT_RUN: u8 = 3;

/// Exit code if the call may have run.
const EXIT_MAY_HAVE_RUN: u8 = 4;

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
                .help("Address of a node; repeatable"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the client account's bearer token"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("UUID")
                .help("Idempotency key, a version 7 UUID; required for non-idempotent routes"),
        )
        .after_help(
            "Exit codes: 0 success, 1 ran and failed, 2 usage error, 3 not run, 4 may have run",
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
        .call(route, key, Bytes::from(body.clone()), |progress| {
            match progress {
                Progress::Text(text) => out!("{text}"),
                Progress::Restart(text) => out!("\n(restarted)\n{text}"),
            }
            // A flush error is ignored: the next write reports that the output is broken.
            let _ = std::io::stdout().flush();
        })
        .await;
    match result {
        Ok(Reply::Text(_)) => outln!(""),
        Ok(Reply::Body(body)) => outln!("{}", String::from_utf8_lossy(&body)),
        Err(error) => {
            eprintln!("error: {error}");
            return Ok(ExitCode::from(match error.verdict() {
                Verdict::NotRun => EXIT_NOT_RUN,
                Verdict::MayHaveRun => EXIT_MAY_HAVE_RUN,
                Verdict::Ran => 1,
            }));
        }
    }
    Ok(ExitCode::SUCCESS)
}
