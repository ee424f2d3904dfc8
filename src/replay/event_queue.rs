use std::collections::BTreeMap;

use crate::clock::Millis;

use super::event::Event;
use super::{Endpoint, Options, Trace};

/// Interval at which all nodes poll their admission queues.
pub(super) const TICK_INTERVAL_US: u64 = 50_000;

/// The virtual clock and the scheduled events.
///
/// Events with the same time are handled in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now_us: u64,
}

/// Clock and scheduling.
impl EventQueue {
    /// Removes the next event and advances the clock to its time.
    pub(super) fn pop(&mut self) -> Option<Event> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now_us = time;
        Some(event)
    }

    /// Schedules an event at an absolute virtual time in microseconds.
    pub(super) fn schedule_at(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time_us, self.sequence), event);
    }

    /// Schedules an event after a delay from the current virtual time.
    pub(super) fn schedule_after(&mut self, delay: Millis, event: Event) {
        self.schedule_at(self.now_us + delay.0 * 1_000, event);
    }

    /// Returns the current virtual time in microseconds.
    pub(super) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the current virtual time, rounded down to milliseconds.
    pub(super) fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }
}

/// Events that are scheduled before the simulation starts.
impl EventQueue {
    /// Schedules the first load report of each engine.
    pub(super) fn schedule_reports(&mut self, options: &Options, engines: usize) {
        for index in 0..engines {
            // The reports of the engines are spread evenly over the interval.
            let offset = options.report_interval.0 * 1_000 * index as u64;
            self.schedule_at(offset / engines as u64, Event::LoadReport(index));
        }
    }

    /// Schedules the arrivals of requests to the first endpoint's service and returns their number.
    pub(super) fn schedule_arrivals(
        &mut self,
        trace: &Trace,
        options: &Options,
        endpoints: &[Endpoint],
    ) -> usize {
        let service = endpoints.first().map(|endpoint| &endpoint.service);
        let requests = trace.requests.iter().enumerate();
        let mut count = 0;
        for (index, request) in requests.filter(|(_, r)| Some(&r.service) == service) {
            let at = request.at_ms.as_f64() * 1_000.0 / options.speed;
            self.schedule_at(at as u64, Event::Arrival(index));
            count += 1;
        }
        count
    }

    /// Schedules the notice and the loss of each reclaimed host.
    pub(super) fn schedule_reclaims(&mut self, trace: &Trace, endpoints: &[Endpoint]) {
        for reclaim in &trace.reclaims {
            let engine = endpoints.iter().position(|e| e.name == reclaim.endpoint);
            if let Some(engine) = engine {
                let notice_at = reclaim.at_ms - reclaim.notice_ms;
                self.schedule_at(notice_at.0 * 1_000, Event::ReclaimNotice(engine));
                self.schedule_at(reclaim.at_ms.0 * 1_000, Event::HostLoss(engine));
            }
        }
    }
}
