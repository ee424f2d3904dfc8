use crate::routing::Report;

/// An event of the simulation; requests and engines are given by their indices.
#[derive(Debug)]
pub(super) enum Event {
    /// A request arrives at a node.
    Arrival(usize),
    /// The backoff before a request's next attempt ends.
    Retry(usize),
    /// An engine finishes its current step.
    StepEnd(usize),
    /// An engine measures its load for a report.
    LoadReport(usize),
    /// An engine's load report reaches the nodes.
    ReportDelivery(usize, Report),
    /// The nodes learn which blocks an engine's prefix cache stored and evicted.
    CacheUpdate(usize, Vec<u64>, Vec<u64>),
    /// The nodes detect that they missed cache events of an engine.
    CacheGap(usize),
    /// The cloud announces that it reclaims an engine's host.
    ReclaimNotice(usize),
    /// An engine's host is lost.
    HostLoss(usize),
    /// All nodes poll their admission queues.
    Tick,
}
