use std::collections::BTreeMap;

use crate::clock::Millis;

use super::event::Event;
use super::{Endpoint, Options, Trace};

/// Time between two looks at the queues of all nodes.
pub(super) const TICK_US: u64 = 50_000;

/// The virtual time and the events to come; those of the same time happen in order of addition.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now_us: u64,
}

/// Times.
impl Agenda {
    /// Moves on to the next event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now_us = time;
        Some(event)
    }

    pub(super) fn at(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time_us, self.sequence), event);
    }

    pub(super) fn after(&mut self, delay: Millis, event: Event) {
        self.at(self.now_us + delay.0 * 1_000, event);
    }

    pub(super) fn now_us(&self) -> u64 {
        self.now_us
    }

    pub(super) fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }
}

/// The events that are known from the start.
impl Agenda {
    pub(super) fn reports(&mut self, options: &Options, engines: usize) {
        for index in 0..engines {
            // Engines report at different times.
            let offset = options.report_interval.0 * 1_000 * index as u64;
            self.at(offset / engines as u64, Event::Report(index));
        }
    }

    /// Adds the arrivals at the service of the first endpoint, and returns how many there are.
    pub(super) fn arrivals(
        &mut self,
        trace: &Trace,
        options: &Options,
        sites: &[Endpoint],
    ) -> usize {
        let service = sites.first().map(|site| &site.service);
        let requests = trace.requests.iter().enumerate();
        let mut count = 0;
        for (index, request) in requests.filter(|(_, r)| Some(&r.service) == service) {
            let at = request.at_ms.as_f64() * 1_000.0 / options.speed;
            self.at(at as u64, Event::Arrive(index));
            count += 1;
        }
        count
    }

    pub(super) fn reclaims(&mut self, trace: &Trace, sites: &[Endpoint]) {
        for reclaim in &trace.reclaims {
            let found = sites.iter().position(|s| s.name == reclaim.endpoint);
            if let Some(engine) = found {
                let notice = reclaim.at_ms - reclaim.notice_ms;
                self.at(notice.0 * 1_000, Event::Notice(engine));
                self.at(reclaim.at_ms.0 * 1_000, Event::Lose(engine));
            }
        }
    }
}
