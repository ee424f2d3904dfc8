//! Load answered: streams that slow each other down at one endpoint.

use crate::clock::Millis;

/// The times between the events of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    last_event_at: Option<Millis>,
    count: u32,
    total: Millis,
    longest: Millis,
}

impl Pauses {
    /// Records events that arrived together.
    pub fn record(&mut self, events: usize, now: Millis) {
        if events == 0 {
            return;
        }
        let first_pause = u32::from(self.last_event_at.is_some());
        let pause = now - self.last_event_at.unwrap_or(now);
        self.last_event_at = Some(now);
        self.count += first_pause + u32::try_from(events - 1).unwrap_or(0);
        self.total += pause;
        self.longest = self.longest.max(pause);
    }

    /// Returns the longest pause, in milliseconds, if there was one.
    #[must_use]
    pub fn longest_ms(&self) -> Option<f64> {
        (self.count > 0).then(|| self.longest.as_f64())
    }

    /// Returns the mean pause in milliseconds, without the longest one, during which the endpoint may
    /// have prefilled the prompt of another request.
    #[must_use]
    pub fn usual_ms(&self) -> Option<f64> {
        let rest = (self.total - self.longest).as_f64();
        (self.count > 1).then(|| rest / f64::from(self.count - 1))
    }
}
