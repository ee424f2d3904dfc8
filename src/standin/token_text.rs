use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the made-up text of a token.
///
/// The text contains the token's offset, its sampling run and a digest of the previous token. So a
/// test can detect a response that mixes two sampling runs: only an engine that was given the
/// earlier tokens can continue them with matching digests.
#[must_use]
pub fn token_text(offset: usize, sampling: &str, previous: Option<&str>) -> Arc<str> {
    let digest = previous.map_or(0, |text| xxh3_64(text.as_bytes()) & 0xffff);
    format!("w{offset}.{sampling}.{digest:04x} ").into()
}
