/// The endpoints that a decision compares, as (score, slot); reused from one to the next.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    pub(super) scores: Vec<(f64, usize)>,
    /// How many of the first scores are a sample of all endpoints, or all of them.
    pub(super) drawn: usize,
    /// Where the scores of the places of a cold prefix begin, first choice first; none when all
    /// endpoints are scored.
    pub(super) places: Option<usize>,
}

impl Candidates {
    pub(super) fn clear(&mut self) {
        self.scores.clear();
        self.drawn = 0;
        self.places = None;
    }
}
