/// Current occupancy of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that wait for an endpoint.
    pub queued: usize,
    /// Free slots of the endpoints.
    pub free: u32,
    /// Slots of the endpoints in total.
    pub slots: u32,
}

impl Occupancy {
    /// Returns whether a hedge uses no capacity that first attempts need.
    ///
    /// With more than half of the slots in use, slow responses are more likely a sign of load, and
    /// hedges would add to it.
    #[must_use]
    pub fn allows_hedge(self) -> bool {
        self.queued == 0 && self.slots > 0 && self.free >= self.slots.div_ceil(2)
    }
}
