use crate::admission::Ticket;

/// A request on its way.
#[derive(Clone, Debug, Default)]
pub(super) struct Flight {
    pub(super) node: usize,
    pub(super) arrived_us: u64,
    pub(super) dispatched_us: u64,
    pub(super) engine: usize,
    pub(super) attempts: u32,
    pub(super) predicted: u32,
    pub(super) ticket: Option<Ticket>,
    pub(super) generated: u32,
    pub(super) first: bool,
}
