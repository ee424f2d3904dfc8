/// The result of a lookup in a [`PrefixIndex`](super::PrefixIndex), reused from one to the next.
#[derive(Clone, Debug, Default)]
pub struct Matches {
    /// Leading blocks per slot; 0 when none is known.
    blocks: Vec<f32>,
    /// Slots that hold some, those that hold most first.
    holders: Vec<u16>,
}

impl Matches {
    /// Returns how many leading blocks the endpoint in a slot probably holds.
    #[must_use]
    pub fn blocks(&self, slot: usize) -> f32 {
        self.blocks.get(slot).copied().unwrap_or(0.0)
    }

    /// Returns the slots that hold some blocks, those whose entries reach deepest first.
    #[must_use]
    pub fn holders(&self) -> &[u16] {
        &self.holders
    }

    /// Forgets the last result; the time grows with its holders, not with the slots.
    pub(super) fn clear(&mut self) {
        for slot in self.holders.drain(..) {
            self.blocks[usize::from(slot)] = 0.0;
        }
    }

    /// Records a match, unless a deeper one is known.
    pub(super) fn record(&mut self, slot: u16, blocks: f32) {
        let index = usize::from(slot);
        if self.blocks.len() <= index {
            self.blocks.resize(index + 1, 0.0);
        }
        if self.blocks[index] == 0.0 {
            self.blocks[index] = blocks;
            self.holders.push(slot);
        }
    }
}
