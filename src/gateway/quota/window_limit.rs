use crate::clock::Millis;

/// The units that an account may get in a window, across changes of its quota.
///
/// A lower quota takes effect one window later: until then, the window contains grants that the
/// earlier quota allowed, and they would use up the new one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WindowLimit {
    units: f64,
    earlier_units: f64,
    changed_at: Millis,
}

impl WindowLimit {
    /// Adopts the limit of the quota in force, and returns the limit that applies now.
    pub(super) fn update(&mut self, units: f64, window: Millis, now: Millis) -> f64 {
        if now - self.changed_at >= window {
            self.earlier_units = self.units;
        }
        if self.units.to_bits() != units.to_bits() {
            self.earlier_units = self.earlier_units.max(self.units);
            self.units = units;
            self.changed_at = now;
        }
        if now - self.changed_at < window {
            return units.max(self.earlier_units);
        }
        units
    }
}
