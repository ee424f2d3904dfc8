use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

/// Weight of a new sample in the averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A load report as the router needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests that are being served.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can be served at the same time.
    pub slots: u32,
}

/// What a router knows about one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct View<K> {
    /// Key of the endpoint with the caller of the router.
    pub key: K,
    /// Number that all nodes know the endpoint by, for example a hash of its host's name.
    pub id: u64,
    /// Price per hour.
    pub price: f64,
    /// Whether it may get new work.
    pub open: bool,
    /// Its last load report.
    pub report: Report,
    /// When the report arrived.
    pub reported_at: Millis,
    /// Requests of the report that were not this node's own.
    #[serde(rename = "foreign")]
    pub remote_in_flight: f64,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests in flight of the class `long`.
    pub long_in_flight: u32,
    /// Prompt tokens of own interactive requests without a first token.
    pub pending_interactive: u64,
    /// Prompt tokens of own long requests without a first token.
    pub pending_long: u64,
    /// Average time of a request at this endpoint in milliseconds.
    pub service_ms: f64,
}

impl<K> View<K> {
    pub(super) fn new(key: K, id: u64, price: f64, service_ms: f64) -> Self {
        Self {
            key,
            id,
            price,
            open: true,
            report: Report::default(),
            reported_at: Millis::ZERO,
            remote_in_flight: 0.0,
            in_flight: 0,
            long_in_flight: 0,
            pending_interactive: 0,
            pending_long: 0,
            service_ms,
        }
    }

    /// Takes over a report; what exceeds the own requests is work of other nodes.
    pub(super) fn set_report(&mut self, report: Report, now: Millis) {
        let reported = f64::from(report.running) + f64::from(report.queued);
        self.remote_in_flight = (reported - f64::from(self.in_flight)).max(0.0);
        self.report = report;
        self.reported_at = now;
    }

    /// Estimates the requests at the endpoint now: the own ones, which are known exactly, and
    /// those of other nodes by the report.
    ///
    /// The report is moved towards the mean over all endpoints as it ages, because an endpoint
    /// that was idle five seconds ago is not known to be idle now.
    pub(super) fn outstanding(
        &self,
        mean_remote_in_flight: f64,
        memory: Millis,
        now: Millis,
    ) -> f64 {
        let age = (now - self.reported_at).as_f64() / memory.as_f64().max(1.0);
        // A rational decay costs a division only, and 600 endpoints are scanned per decision.
        let trust = 1.0 / (1.0 + age);
        f64::from(self.in_flight)
            + mean_remote_in_flight
            + (self.remote_in_flight - mean_remote_in_flight) * trust
    }

    pub(super) fn pending(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Interactive => &mut self.pending_interactive,
            Class::Long => &mut self.pending_long,
        }
    }

    pub(super) fn sample(&mut self, took: Millis) {
        self.service_ms += SAMPLE_WEIGHT * (took.as_f64() - self.service_ms);
    }
}
