use crate::config::Class;

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a, K> {
    /// Hashes of the prompt's prefix blocks, see [`block_hashes`](super::block_hashes); empty for
    /// plain services.
    pub blocks: &'a [u64],
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Scheduling class.
    pub class: Class,
    /// Endpoints that must not be chosen, for example because earlier attempts failed there.
    pub exclude: &'a [K],
}
