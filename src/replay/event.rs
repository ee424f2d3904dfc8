use crate::routing::Report;

/// Something that happens at a time; requests and engines go by their numbers.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Retry(usize),
    Step(usize),
    Report(usize),
    Deliver(usize, Report),
    Cached(usize, Vec<u64>, Vec<u64>),
    Gap(usize),
    Notice(usize),
    Lose(usize),
    Tick,
}
