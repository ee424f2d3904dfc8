use std::ffi::OsString;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::{
    call, check, completions, dev, dump, gateway, generate, load, publish, replay, rollouts, serve,
    status,
};

/// Exit code of a command that failed.
pub(super) const EXIT_FAILURE: u8 = 1;

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("almondpath")
        .about("Serves model and application traffic on reclaimable hosts")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Format of the log on standard error"),
        )
        .subcommand(serve::command())
        .subcommand(gateway::command())
        .subcommand(generate::command())
        .subcommand(check::command())
        .subcommand(publish::command())
        .subcommand(status::command())
        .subcommand(dump::command())
        .subcommand(call::command())
        .subcommand(rollouts::command())
        .subcommand(dev::command())
        .subcommand(replay::command())
        .subcommand(load::command())
        .subcommand(completions::command())
        .after_help(
            "Exit codes: 0 success, 1 failure, 2 usage error; `call` also 3 not run, 4 may have run",
        )
}

/// Runs the program with the given command line arguments and returns its exit code.
///
/// The exit code is 0 for success, 1 for failure and 2 for a usage error. `call` also returns 3 if
/// the call did not run, and 4 if it may have run.
pub fn run<I, T>(args: I) -> ExitCode
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = command().get_matches_from(args);
    // A gateway gets less than one CPU core, so more threads would only add wake-ups.
    let mut builder = if matches.subcommand_name() == Some("gateway") {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: starting the async runtime: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    runtime
        .block_on(run_subcommand(&matches))
        .unwrap_or_else(|error| {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        })
}

async fn run_subcommand(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let json_log = matches
        .get_one::<String>("log-format")
        .is_some_and(|f| f == "json");
    match matches.subcommand() {
        Some(("serve", args)) => serve::run(args, json_log).await,
        Some(("gateway", args)) => gateway::run(args).await,
        Some(("generate", args)) => generate::run(args),
        Some(("check", args)) => check::run(args),
        Some(("completions", args)) => Ok(completions::run(args)),
        Some(("publish", args)) => publish::run(args).await,
        Some(("status", args)) => status::run(args).await,
        Some(("dump", args)) => dump::run(args).await,
        Some(("call", args)) => call::run(args).await,
        Some(("rollouts", args)) => rollouts::run(args),
        Some(("dev", args)) => dev::run(args, json_log).await,
        Some(("replay", args)) => replay::run(args),
        Some(("load", args)) => load::run(args).await,
        _ => unreachable!("clap accepts only the subcommands above"),
    }
}

/// Returns the definition of the required argument `FILE`.
pub(super) fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

/// Returns the definition of the argument `--format`.
pub(super) fn format_arg() -> Arg {
    Arg::new("format")
        .long("format")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Format of the output")
}

/// Returns whether `--format json` was given.
pub(super) fn is_json(args: &ArgMatches) -> bool {
    args.get_one::<String>("format")
        .is_some_and(|f| f == "json")
}
