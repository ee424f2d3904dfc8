/// Result of a lookup in a [`PrefixIndex`](super::PrefixIndex); the allocations are reused between
/// lookups.
#[derive(Clone, Debug, Default)]
pub struct Matches {
    /// Number of leading blocks per endpoint; 0 when the endpoint holds none.
    blocks: Vec<f32>,
    /// Endpoints that hold some blocks, longest match first.
    holders: Vec<u16>,
}

impl Matches {
    /// Returns how many leading blocks an endpoint probably holds.
    #[must_use]
    pub fn blocks(&self, endpoint: usize) -> f32 {
        self.blocks.get(endpoint).copied().unwrap_or(0.0)
    }

    /// Returns the endpoints that hold some of the blocks, longest match first.
    #[must_use]
    pub fn holders(&self) -> &[u16] {
        &self.holders
    }

    /// Clears the last result, in time proportional to the number of its holders.
    pub(super) fn clear(&mut self) {
        for endpoint in self.holders.drain(..) {
            self.blocks[usize::from(endpoint)] = 0.0;
        }
    }

    /// Records a match, unless a longer one of the endpoint is known.
    pub(super) fn record(&mut self, endpoint: u16, blocks: f32) {
        let index = usize::from(endpoint);
        if self.blocks.len() <= index {
            self.blocks.resize(index + 1, 0.0);
        }
        if self.blocks[index] == 0.0 {
            self.blocks[index] = blocks;
            self.holders.push(endpoint);
        }
    }
}
