use super::View;

/// Sums over the open endpoints, kept up to date so that a decision needs no scan for them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    open: u32,
    remote_in_flight: f64,
    price: f64,
    slots: u32,
}

impl Totals {
    /// Adds an endpoint, if it is open.
    pub(super) fn add<K>(&mut self, view: &View<K>) {
        if view.open {
            self.open += 1;
            self.remote_in_flight += view.remote_in_flight;
            self.price += view.price;
            self.slots += view.report.slots;
        }
    }

    /// Takes back what [`Totals::add`] added for an endpoint.
    pub(super) fn subtract<K>(&mut self, view: &View<K>) {
        if view.open {
            self.open -= 1;
            self.remote_in_flight -= view.remote_in_flight;
            self.price -= view.price;
            self.slots -= view.report.slots;
        }
        if self.open == 0 {
            // Differences of prices may leave a rounding error behind.
            *self = Self::default();
        }
    }

    /// Returns the requests of other nodes at all open endpoints.
    pub(super) fn remote_in_flight(&self) -> f64 {
        self.remote_in_flight
    }

    /// Returns the requests that the open endpoints can serve at the same time.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean of the requests of other nodes.
    pub(super) fn mean_remote_in_flight(&self) -> f64 {
        self.remote_in_flight / f64::from(self.open.max(1))
    }

    /// Returns the mean price, or 1 when there is none.
    pub(super) fn mean_price(&self) -> f64 {
        if self.price > 0.0 {
            self.price / f64::from(self.open)
        } else {
            1.0
        }
    }
}
