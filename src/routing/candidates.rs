/// The endpoints that a decision compares; the allocation is reused between decisions.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// Score and index of each endpoint.
    pub(super) scores: Vec<(f64, usize)>,
    /// Number of scores at the front that belong to a random sample of the endpoints, or to all of
    /// them.
    pub(super) sampled: usize,
    /// Offset in `scores` at which the preferred endpoints of a cold prefix begin, in order of
    /// preference; `None` if all endpoints are scored.
    pub(super) preferred: Option<usize>,
}

impl Candidates {
    pub(super) fn clear(&mut self) {
        self.scores.clear();
        self.sampled = 0;
        self.preferred = None;
    }
}
