use crate::clock::Millis;

/// Appends a second that all writers of calls streams make together; the log service takes 300
/// and the rest is left to the `control` stream.
pub const MAX_APPENDS_PER_S: u64 = 250;

/// Returns the time between the starts of two appends of one writer to one stream.
///
/// With `writers` active on each of `streams` streams the sum stays within [`MAX_APPENDS_PER_S`]. A
/// writer that has been idle for this long appends at once, so that it adds no delay at low load.
#[must_use]
pub fn append_interval(writers: usize, streams: u32) -> Millis {
    let appenders = u64::try_from(writers.max(1)).unwrap_or(u64::MAX);
    let appenders = appenders.saturating_mul(u64::from(streams.max(1)));
    Millis(appenders.saturating_mul(1_000).div_ceil(MAX_APPENDS_PER_S))
}
