use std::fmt;
use std::io::{ErrorKind, Write as _};

use super::command::EXIT_FAILURE;

/// Writes to standard output, or exits the process with an error if that fails.
///
/// `print!` would panic when the reader closes the pipe early, as in `almondpath replay FILE | head`.
pub(super) fn write(text: fmt::Arguments<'_>) {
    let Err(error) = std::io::stdout().write_fmt(text) else {
        return;
    };
    if error.kind() != ErrorKind::BrokenPipe {
        eprintln!("error: writing to standard output: {error}");
    }
    std::process::exit(EXIT_FAILURE.into());
}

/// Prints to standard output like `print!`, but exits instead of panicking if the pipe is closed.
macro_rules! out {
    ($($text:tt)*) => {
        $crate::cli::output::write(format_args!($($text)*))
    };
}

/// Prints to standard output like `println!`, but exits instead of panicking if the pipe is closed.
macro_rules! outln {
    ($($text:tt)*) => {
        $crate::cli::output::write(format_args!("{}\n", format_args!($($text)*)))
    };
}
