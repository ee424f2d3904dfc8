use crate::log::{Offset, Page};

use super::{Outcome, Projection, Record};

/// Follows the `control` stream, and recovers from a checkpoint when records have expired.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    projection: Projection,
    /// Where the search for a checkpoint goes on; none without a gap.
    search: Option<Offset>,
}

impl Reader {
    /// Goes on from a known state.
    #[must_use]
    pub fn new(projection: Projection) -> Self {
        Self {
            projection,
            search: None,
        }
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.search.unwrap_or(self.projection.next_offset())
    }

    /// Returns the state; during a gap it is the one before.
    #[must_use]
    pub fn projection(&self) -> &Projection {
        &self.projection
    }

    /// Returns whether records between the state and the stream's oldest record have expired.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.search.is_some()
    }

    /// Takes in a page that was read from [`Reader::next_offset`] on, and returns what became of its
    /// records.
    ///
    /// After a gap it searches for a checkpoint whose later records are all there, and goes on
    /// from its offset; until then records have no outcome.
    pub fn apply(&mut self, page: &Page) -> Vec<(Offset, Outcome)> {
        if page.earliest > self.next_offset() {
            self.search = Some(page.earliest);
        }
        if self.search.is_some() {
            self.recover(page);
            return Vec::new();
        }
        page.records
            .iter()
            .map(|entry| {
                (
                    entry.offset,
                    self.projection.apply(entry.offset, &entry.data),
                )
            })
            .collect()
    }

    fn recover(&mut self, page: &Page) {
        for entry in &page.records {
            self.search = Some(entry.offset.next());
            if let Ok(Record::Checkpoint(state)) = serde_json::from_str(&entry.data)
                && state.next_offset() >= page.earliest
                && state.next_offset() > self.projection.next_offset()
            {
                self.projection = *state;
                self.search = None;
                return;
            }
        }
    }
}
