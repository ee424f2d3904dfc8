//! The `almondpath` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondpath::cli::run(std::env::args_os())
}
