//! Load answered: hosts that other tenants slow down and release again, several times a second.

use crate::clock::Millis;

/// Time after which a reading has lost half of its weight.
const HALF_LIFE: Millis = Millis(250);

/// How long work takes on the host of an endpoint, relative to the usual time, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Factor on the time of all work.
    pub factor: f64,
    /// When it was reported.
    pub at: Millis,
}

impl Contention {
    /// Returns the factor that is expected now, which approaches the `usual` one as the report ages.
    #[must_use]
    pub fn expected(&self, usual: f64, now: Millis) -> f64 {
        usual + (self.factor - usual) * self.weight(now)
    }

    fn weight(&self, now: Millis) -> f64 {
        (-(now - self.at).as_f64() / HALF_LIFE.as_f64()).exp2()
    }
}
