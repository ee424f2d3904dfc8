/// Contention beyond which a report says no more, in percent of the usual time.
const MAX_CONTENTION: u32 = 10_000;

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
        Some(f64::from(percent.min(MAX_CONTENTION)) / 100.0)
    }

    /// Returns the requests that the endpoint has.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
