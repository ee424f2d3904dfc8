/// Load of an endpoint, as the endpoint reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
    /// Time that work takes on the endpoint's host at this moment, in percent of the usual time, if the
    /// endpoint reports it.
    pub contention: Option<u32>,
}

impl Load {
    /// Returns the factor by which the host slows work down, if the endpoint reports it.
    #[must_use]
    pub fn contention(&self) -> Option<f64> {
        let percent = self.contention.filter(|percent| *percent > 0)?;
        Some(f64::from(percent) / 100.0)
    }
}
