/// Load of an endpoint, as the endpoint reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
}
