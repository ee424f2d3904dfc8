use crate::config::Class;

/// What a router has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a, K> {
    /// Hashes of the prompt's blocks, see [`block_hashes`](super::block_hashes); empty for plain services.
    pub blocks: &'a [u64],
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Scheduling class.
    pub class: Class,
    /// Endpoints that earlier attempts failed at.
    pub exclude: &'a [K],
}
