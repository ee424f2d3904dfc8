use slog::{KV, Record, Serializer};

use crate::rollout::Tally;

/// The evidence about a version in a few figures, as they are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests to the version.
    pub total: Tally,
    /// Those since the version was under load.
    pub loaded: Tally,
    /// How close the version is to being found worse, on a log scale from 0 to 1.
    pub suspicion: f64,
}

impl KV for Summary {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u32("requests", self.total.requests)?;
        serializer.emit_u32("failed", self.total.failures)?;
        serializer.emit_u32("slow", self.total.slow())?;
        serializer.emit_u32("requests_under_load", self.loaded.requests)?;
        serializer.emit_u32("failed_under_load", self.loaded.failures)?;
        serializer.emit_u32("slow_under_load", self.loaded.slow())?;
        serializer.emit_f64("suspicion", self.suspicion)
    }
}
