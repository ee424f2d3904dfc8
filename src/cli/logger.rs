use slog::{Drain, Logger, o};

/// Maximum number of log lines queued for the writing thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Returns a logger that writes JSON lines or text to standard error.
pub(super) fn logger(json: bool) -> Logger {
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        return async_logger(std::sync::Mutex::new(drain).fuse());
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    async_logger(slog_term::FullFormat::new(decorator).build().fuse())
}

/// Returns a logger that writes JSON lines to standard output, and a guard that writes all queued
/// lines when it is dropped.
///
/// While the queue is full, lines are dropped; the next line that is written is preceded by their
/// number.
pub(super) fn stdout_logger() -> (Logger, slog_async::AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = std::sync::Mutex::new(drain).fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Returns a logger that passes its lines to a thread that writes them to `drain`.
fn async_logger<D>(drain: D) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build();
    Logger::root(drain.fuse(), o!())
}
