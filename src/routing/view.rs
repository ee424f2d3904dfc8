use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

/// Weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The figures of an endpoint's load report that routing depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests being served.
    pub running: u32,
    /// Requests waiting in the endpoint's queue.
    pub queued: u32,
    /// Requests that the endpoint can serve concurrently.
    pub slots: u32,
}

/// A router's view of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct View<K> {
    /// Key by which the caller of the router identifies the endpoint.
    pub key: K,
    /// Id of the endpoint that is the same at all nodes, for example a hash of its host's name.
    pub id: u64,
    /// Price per hour.
    pub price: f64,
    /// Whether the endpoint accepts new requests.
    pub open: bool,
    /// Last load report.
    pub report: Report,
    /// Time at which the report arrived.
    pub reported_at: Millis,
    /// Requests of other nodes, by the last report.
    #[serde(rename = "foreign")]
    pub remote_in_flight: f64,
    /// This node's requests in flight.
    pub in_flight: u32,
    /// This node's requests in flight of the class `long`.
    pub long_in_flight: u32,
    /// Prompt tokens of this node's interactive requests that have no first token yet.
    pub pending_interactive: u64,
    /// Prompt tokens of this node's long requests that have no first token yet.
    pub pending_long: u64,
    /// Moving average of the service time of a request in milliseconds.
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

    /// Sets the load report; requests beyond this node's own are those of other nodes.
    pub(super) fn set_report(&mut self, report: Report, now: Millis) {
        let reported = f64::from(report.running) + f64::from(report.queued);
        self.remote_in_flight = (reported - f64::from(self.in_flight)).max(0.0);
        self.report = report;
        self.reported_at = now;
    }

    /// Estimates the number of requests at the endpoint now: this node's own, which are known
    /// exactly, and those of other nodes, from the report.
    ///
    /// As the report ages, its value moves towards the mean over all endpoints, because an endpoint
    /// that was idle five seconds ago is not necessarily idle now. The report counts half at the
    /// age `memory`.
    pub(super) fn outstanding(
        &self,
        mean_remote_in_flight: f64,
        memory: Millis,
        now: Millis,
    ) -> f64 {
        let age = (now - self.reported_at).as_f64() / memory.as_f64().max(1.0);
        // A rational decay costs only a division; up to 600 endpoints are evaluated per decision.
        let trust = 1.0 / (1.0 + age);
        f64::from(self.in_flight)
            + mean_remote_in_flight
            + (self.remote_in_flight - mean_remote_in_flight) * trust
    }

    /// Returns a mutable reference to the prompt tokens of this node's requests of a class that
    /// have no first token yet.
    pub(super) fn pending_mut(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Interactive => &mut self.pending_interactive,
            Class::Long => &mut self.pending_long,
        }
    }

    /// Records the service time of a finished request.
    pub(super) fn record_service_time(&mut self, took: Millis) {
        self.service_ms += SAMPLE_WEIGHT * (took.as_f64() - self.service_ms);
    }
}
