use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

pub(super) fn command() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell for which to print the script"),
        )
        .after_help("Example:\n  almondpath completions bash > almondpath.bash")
}

pub(super) fn run(args: &ArgMatches) -> ExitCode {
    let shell = *args.get_one::<Shell>("shell").expect("required by clap");
    let mut command = super::command();
    clap_complete::generate(shell, &mut command, "almondpath", &mut std::io::stdout());
    ExitCode::SUCCESS
}
