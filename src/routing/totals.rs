use super::View;

/// Sums over the open endpoints, updated incrementally so that a decision needs no scan.
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

    /// Subtracts what [`Totals::add`] added for an endpoint.
    pub(super) fn subtract<K>(&mut self, view: &View<K>) {
        if view.open {
            self.open -= 1;
            self.remote_in_flight -= view.remote_in_flight;
            self.price -= view.price;
            self.slots -= view.report.slots;
        }
        if self.open == 0 {
            // Subtracting prices may leave a rounding error.
            *self = Self::default();
        }
    }

    /// Returns the number of requests of other nodes at all open endpoints.
    pub(super) fn remote_in_flight(&self) -> f64 {
        self.remote_in_flight
    }

    /// Returns the number of requests that the open endpoints can serve concurrently.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean number of requests of other nodes per open endpoint.
    pub(super) fn mean_remote_in_flight(&self) -> f64 {
        self.remote_in_flight / f64::from(self.open.max(1))
    }

    /// Returns the mean price of the open endpoints, or 1 when no price is known.
    pub(super) fn mean_price(&self) -> f64 {
        if self.price > 0.0 {
            self.price / f64::from(self.open)
        } else {
            1.0
        }
    }
}
