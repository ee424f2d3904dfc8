use crate::clock::Millis;

/// Maximum number of appends per second of all writers of the calls streams together. The log
/// service accepts 300 per second; the rest is left for the `control` stream.
pub const MAX_APPENDS_PER_S: u64 = 250;

/// Returns the time between the starts of two appends of one writer to one stream.
///
/// It keeps the appends of `writers` writers on each of `streams` streams within
/// [`MAX_APPENDS_PER_S`]. A writer that has been idle for this time appends immediately, so that
/// the interval adds no delay at low load.
#[must_use]
pub fn append_interval(writers: usize, streams: u32) -> Millis {
    let appenders = u64::try_from(writers.max(1)).unwrap_or(u64::MAX);
    let appenders = appenders.saturating_mul(u64::from(streams.max(1)));
    Millis(appenders.saturating_mul(1_000).div_ceil(MAX_APPENDS_PER_S))
}
