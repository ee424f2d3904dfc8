//! Load answered: nodes that share what an endpoint tolerates.

/// The place of a node in the list of all nodes that may be serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of the nodes before it.
    pub index: usize,
    /// Number of nodes, itself included.
    pub nodes: usize,
}

impl Place {
    /// The place of a node that knows no other one.
    pub const ALONE: Self = Self { index: 0, nodes: 1 };

    /// Returns the place of the node `own` among others, in the order of their names.
    pub fn among<'a, I>(own: &str, others: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut place = Self::ALONE;
        for other in others {
            place.nodes += 1;
            place.index += usize::from(other < own);
        }
        place
    }
}
