use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::WrapErr;

use crate::questionnaire::{Answers, Generated};

use super::command::file_arg;

pub(super) fn command() -> Command {
    Command::new("generate")
        .about("Generates a configuration from the answers to the questionnaire")
        .arg(file_arg("Answers to the questionnaire (YAML)"))
        .arg(
            Arg::new("explain")
                .long("explain")
                .action(ArgAction::SetTrue)
                .help("Adds a comment with the reason for each derived value"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File to write [default: standard output]"),
        )
        .after_help(
            "Example:\n  almondpath generate examples/ikeja/answers.yaml --explain -o config.yaml",
        )
}

pub(super) fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = args.get_one::<PathBuf>("file").expect("required by clap");
    let answers = Answers::load(file)?;
    let text = Generated::new(&answers).to_yaml(args.get_flag("explain"))?;
    match args.get_one::<PathBuf>("output") {
        Some(path) => {
            std::fs::write(path, text).wrap_err_with(|| format!("writing {}", path.display()))?
        }
        None => out!("{text}"),
    }
    Ok(ExitCode::SUCCESS)
}
