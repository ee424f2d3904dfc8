use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the made-up text of a token.
///
/// It names its offset, the sampling that generated it and a digest of the token before it. So a
/// response that was put together from two samplings is recognized: only an engine that was given
/// the earlier tokens continues them.
#[must_use]
pub fn token_text(offset: usize, sampling: &str, previous: Option<&str>) -> Arc<str> {
    let digest = previous.map_or(0, |text| xxh3_64(text.as_bytes()) & 0xffff);
    format!("w{offset}.{sampling}.{digest:04x} ").into()
}
