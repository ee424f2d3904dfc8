use crate::gateway::Order;

/// An order to place with the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The kind of endpoints.
    pub order: Order,
    /// Number of endpoints, without those of a version on trial.
    pub count: u32,
    /// Number of endpoints of a version on trial.
    pub on_trial: u32,
}

impl Placement {
    /// Returns the number of endpoints that the cloud is told.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.count + self.on_trial
    }
}
