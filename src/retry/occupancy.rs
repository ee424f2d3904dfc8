/// Occupancy that the endpoints of a service have at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that wait for an endpoint.
    pub queued: usize,
    /// Further requests that the endpoints can take.
    pub free: u32,
    /// Requests that they can serve at the same time.
    pub slots: u32,
}

impl Occupancy {
    /// Returns whether a second attempt takes no room that first attempts need.
    ///
    /// With more than half of the slots taken, slow answers are more likely a sign of load, which
    /// hedges would add to.
    #[must_use]
    pub fn allows_hedge(self) -> bool {
        self.queued == 0 && self.slots > 0 && self.free >= self.slots.div_ceil(2)
    }
}
