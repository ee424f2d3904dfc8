use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens per prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Bytes of text counted as one token, because the tokenizers of the engines are not known here.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of blocks hashed per prompt; the text after them is not looked up.
const MAX_BLOCKS: usize = 1_024;

/// Returns the chained hashes of a prompt's full blocks.
///
/// The hash of a block covers all text before it, so that equal hashes mean equal prefixes.
///
/// # Examples
///
/// ```
/// use almondpath::routing::block_hashes;
///
/// let shared = "x".repeat(256);
/// let a = block_hashes(&format!("{shared}{}", "a".repeat(256)));
/// let b = block_hashes(&format!("{shared}b"));
/// assert_eq!(a[0], b[0]);
/// assert_eq!((a.len(), b.len()), (2, 1));
/// ```
#[must_use]
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut seed = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS as usize * BYTES_PER_TOKEN)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Estimates the number of tokens of a text.
#[must_use]
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}
