use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::ensure;

use crate::clock::Millis;
use crate::replay::{Options, Trace, compare};
use crate::routing::Policy;

use super::command::file_arg;

pub(super) fn command() -> Command {
    Command::new("replay")
        .about("Replays a recorded trace with the routing policies in virtual time")
        .arg(file_arg("Trace (JSON lines)"))
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .value_parser(value_parser!(Policy))
                .action(clap::ArgAction::Append)
                .help("Routing policy: expected, round_robin, least_outstanding or consistent_hash; repeatable [default: all]"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Format of the results"),
        )
        .arg(integer_arg("seed", "1", "Seed of all random decisions"))
        .arg(integer_arg("nodes", "3", "Number of nodes, which route independently"))
        .arg(
            Arg::new("engines")
                .long("engines")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=600))
                .help("Number of endpoints [default: those of the trace]"),
        )
        .arg(integer_arg("report-lag-ms", "0", "Delay of load reports in milliseconds"))
        .arg(float_arg("event-loss", "0", "Share of cache events that are lost, 0 to 1"))
        .arg(float_arg("speed", "1", "Factor by which the arrival rate is multiplied"))
        .after_help("Example:\n  almondpath replay traces/ikeja-heldout.jsonl --policy expected --seed 7")
}

/// Returns the definition of an option with an integer value.
fn integer_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns the definition of an option with a floating point value.
fn float_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("X")
        .default_value(default)
        .value_parser(value_parser!(f64))
        .help(help)
}

pub(super) fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let trace = Trace::load(file)?;
    ensure!(!trace.endpoints.is_empty(), "the trace has no endpoints");
    let options = options(args)?;
    let policies: Vec<Policy> = match args.get_many::<Policy>("policy") {
        Some(policies) => policies.copied().collect(),
        None => Policy::ALL.to_vec(),
    };
    let comparisons = compare(&trace, options, &policies);
    if args
        .get_one::<String>("format")
        .is_some_and(|f| f == "json")
    {
        outln!("{}", serde_json::to_string_pretty(&comparisons)?);
        return Ok(ExitCode::SUCCESS);
    }
    outln!(
        "{}: {} requests, seed {}",
        trace.header.deployment,
        trace.requests.len(),
        options.seed
    );
    for comparison in comparisons {
        outln!("\n{comparison}");
    }
    Ok(ExitCode::SUCCESS)
}

fn options(args: &ArgMatches) -> eyre::Result<Options> {
    let integer = |name| *args.get_one::<u64>(name).expect("has a default");
    let float = |name| *args.get_one::<f64>(name).expect("has a default");
    let options = Options {
        seed: integer("seed"),
        nodes: usize::try_from(integer("nodes"))?,
        engines: args
            .get_one::<u64>("engines")
            .map(|n| usize::try_from(*n))
            .transpose()?,
        report_lag: Millis(integer("report-lag-ms")),
        event_loss: float("event-loss"),
        speed: float("speed"),
        ..Options::default()
    };
    ensure!(
        (1..=64).contains(&options.nodes),
        "--nodes must be between 1 and 64"
    );
    ensure!(
        options.speed > 0.0 && options.speed.is_finite(),
        "--speed must be a finite number above 0"
    );
    ensure!(
        (0.0..=1.0).contains(&options.event_loss),
        "--event-loss must be between 0 and 1"
    );
    Ok(options)
}
