use crate::log::{Offset, Page};

use super::{Fold, Outcome, Record};

/// Follows the `control` stream, and recovers from a checkpoint when records have expired.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    fold: Fold,
    /// Where the search for a checkpoint goes on; none without a gap.
    search: Option<Offset>,
}

impl Reader {
    /// Goes on from a known state.
    #[must_use]
    pub fn new(fold: Fold) -> Self {
        Self { fold, search: None }
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.search.unwrap_or(self.fold.next())
    }

    /// Returns the state; during a gap it is the one before.
    #[must_use]
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether records between the state and the stream's oldest record have expired.
    #[must_use]
    pub fn is_gap(&self) -> bool {
        self.search.is_some()
    }

    /// Takes in a page that was read from [`Reader::next`] on, and returns what became of its
    /// records.
    ///
    /// After a gap it searches for a checkpoint whose later records are all there, and goes on
    /// from its offset; until then records have no outcome.
    pub fn take(&mut self, page: &Page) -> Vec<(Offset, Outcome)> {
        if page.earliest > self.next() {
            self.search = Some(page.earliest);
        }
        if self.search.is_some() {
            self.recover(page);
            return Vec::new();
        }
        page.records
            .iter()
            .map(|entry| (entry.offset, self.fold.apply(entry.offset, &entry.data)))
            .collect()
    }

    fn recover(&mut self, page: &Page) {
        for entry in &page.records {
            self.search = Some(entry.offset.next());
            if let Ok(Record::Checkpoint(state)) = serde_json::from_str(&entry.data)
                && state.next() >= page.earliest
                && state.next() > self.fold.next()
            {
                self.fold = *state;
                self.search = None;
                return;
            }
        }
    }
}
