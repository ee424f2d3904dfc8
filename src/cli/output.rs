use std::fmt;
use std::io::{ErrorKind, Write as _};

use super::command::FAILED;

/// Writes to standard output, or ends the process when that fails.
///
/// `print!` panics when the reader has gone, as in `almondpath replay FILE | head`.
pub(super) fn write(text: fmt::Arguments<'_>) {
    let Err(error) = std::io::stdout().write_fmt(text) else {
        return;
    };
    if error.kind() != ErrorKind::BrokenPipe {
        eprintln!("error: writing to standard output: {error}");
    }
    std::process::exit(FAILED.into());
}

/// As `print!`, for a reader that may go.
macro_rules! out {
    ($($text:tt)*) => {
        $crate::cli::output::write(format_args!($($text)*))
    };
}

/// As `println!`, for a reader that may go.
macro_rules! outln {
    ($($text:tt)*) => {
        $crate::cli::output::write(format_args!("{}\n", format_args!($($text)*)))
    };
}
