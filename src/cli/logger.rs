use slog::{Drain, Logger, o};

/// Most log lines that wait for the writer; further ones are counted and dropped.
const QUEUE_LINES: usize = 1_024;

/// Returns a logger that writes JSON lines or text to the standard error.
pub(super) fn logger(json: bool) -> Logger {
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        return asynchronous(std::sync::Mutex::new(drain).fuse());
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    asynchronous(slog_term::FullFormat::new(decorator).build().fuse())
}

/// Returns a logger that writes JSON lines to the standard output, and a guard that writes the lines
/// that wait when it is dropped.
///
/// A line that finds the queue full is dropped; the next one that is written says how many were.
pub(super) fn stdout_logger() -> (Logger, slog_async::AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = std::sync::Mutex::new(drain).fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

fn asynchronous<D>(drain: D) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(QUEUE_LINES).build();
    Logger::root(drain.fuse(), o!())
}
