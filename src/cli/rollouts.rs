use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::rollout::simulation;

/// Default number of scenarios. The targets for the results of the simulation refer to this number.
const DEFAULT_SCENARIOS: &str = "252";

pub(super) fn command() -> Command {
    Command::new("rollouts")
        .about("Simulates the rollout policy and its baseline on seeded scenarios")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the scenarios"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("NUMBER")
                .value_parser(value_parser!(usize))
                .default_value(DEFAULT_SCENARIOS)
                .help("Number of scenarios, each with one rollout"),
        )
        .arg(
            Arg::new("weight")
                .long("weight")
                .value_name("NUMBER")
                .value_parser(value_parser!(f64))
                .default_value("0.5")
                .help("Weight of rollouts as a share of the weights of all objectives, 0 to 1"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Format of the results"),
        )
        .after_help("Example:\n  almondpath rollouts --seed 7 --format json")
}

pub(super) fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let seed = *args.get_one::<u64>("seed").expect("has a default");
    let count = *args.get_one::<usize>("count").expect("has a default");
    let weight = *args.get_one::<f64>("weight").expect("has a default");
    let table = simulation::run_weighted(seed, count, weight);
    if args
        .get_one::<String>("format")
        .is_some_and(|f| f == "json")
    {
        outln!("{}", serde_json::to_string_pretty(&table.rows())?);
    } else {
        out!("{table}");
    }
    Ok(ExitCode::SUCCESS)
}
