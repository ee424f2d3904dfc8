use crate::clock::Millis;

/// Longest time that a denial tells a caller to wait.
pub(super) const MAX_DELAY: Millis = Millis(10_000);

/// When a denied request may come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delay {
    pub(super) time: Millis,
    /// Whether room is kept for it then.
    pub(super) is_promised: bool,
}
