use crate::log::{Offset, Page};

use super::{Outcome, Projection, Record};

/// Reads the `control` stream, and recovers from a checkpoint when records have expired.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    projection: Projection,
    /// Offset at which the search for a checkpoint continues; `None` without a gap.
    search: Option<Offset>,
}

impl Reader {
    /// Continues from a known state.
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

    /// Returns the state; during a gap it is the state before the gap.
    #[must_use]
    pub fn projection(&self) -> &Projection {
        &self.projection
    }

    /// Returns whether records that follow the known state have expired.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.search.is_some()
    }

    /// Applies a page that was read from [`Reader::next_offset`] on, and returns the outcomes of
    /// its records.
    ///
    /// After a gap it searches for a checkpoint after which no record has expired, and continues
    /// from the checkpoint's offset; until then records have no outcome.
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
