//! Load answered: 80 to 370 nodes that each see few responses of one endpoint.

use std::collections::HashMap;

use crate::clock::Millis;

use super::{Backlog, Delay, Sample, Slowness};

/// Classes by which a measurement must differ from the announced one before the others learn of it.
const MIN_CHANGE: u8 = 2;

/// Observations of a run of an endpoint before the others learn of it.
const MIN_SAMPLES: u32 = 3;

/// Maximum number of runs of endpoints that are remembered; the oldest announcements go first.
const MAX_ENDPOINTS: usize = 4_096;

/// Maximum number of own measurements that wait to be passed on.
const MAX_UNSENT: usize = 64;

/// The speeds that changed after some version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Version that a receiver has afterwards.
    pub until: u64,
    /// The latest class of each endpoint that changed.
    pub samples: Vec<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    slowness: Slowness,
    samples: u32,
    announced: Option<(u64, u8)>,
}

/// The speeds of endpoints, as the nodes measure them together.
///
/// Each node passes its measurements on to the node that collects them, and asks for what changed.
#[derive(Debug, Default)]
pub struct Speeds {
    unsent: Vec<Sample>,
    unsent_delays: Vec<Delay>,
    backlogs: HashMap<u32, Backlog>,
    version: u64,
    measured: HashMap<u32, Measured>,
    /// What the collecting node announced.
    adopted: HashMap<u32, Sample>,
    /// Incarnation of the collecting node, and the version of its speeds that was adopted.
    position: (u64, u64),
}

impl Speeds {
    /// Records a measurement of this node, to be passed on. The oldest ones are dropped while nobody
    /// collects them.
    pub fn record(&mut self, sample: Sample) {
        if self.unsent.len() == MAX_UNSENT {
            self.unsent.remove(0);
        }
        self.unsent.push(sample);
    }

    /// Records how much later than expected a first event came, to be passed on.
    pub fn record_delay(&mut self, delay: Delay) {
        if self.unsent_delays.len() == MAX_UNSENT {
            self.unsent_delays.remove(0);
        }
        self.unsent_delays.push(delay);
    }

    /// Takes the measurements that wait to be passed on.
    pub fn take_unsent(&mut self) -> (Vec<Sample>, Vec<Delay>) {
        let samples = std::mem::take(&mut self.unsent);
        (samples, std::mem::take(&mut self.unsent_delays))
    }

    /// Merges the delays that a node measured.
    pub fn merge_delays(&mut self, delays: &[Delay], now: Millis) {
        for delay in delays {
            let backlog = self.backlogs.entry(delay.endpoint).or_default();
            backlog.record(delay.as_ms(), now);
        }
    }

    /// Returns the endpoints that are behind at present, and forgets the others.
    pub fn backlogs(&mut self, now: Millis) -> Vec<Delay> {
        self.backlogs
            .retain(|_, backlog| backlog.expected_ms(now) > 0.0);
        let behind = self.backlogs.iter();
        behind
            .map(|(endpoint, backlog)| Delay::new(*endpoint, backlog.expected_ms(now)))
            .collect()
    }

    /// Merges measurements of a node that passes them on.
    pub fn merge(&mut self, samples: &[Sample]) {
        for sample in samples {
            self.merge_one(*sample);
        }
        if self.measured.len() > MAX_ENDPOINTS {
            self.forget_oldest();
        }
    }

    fn merge_one(&mut self, sample: Sample) {
        let known = self.measured.entry(sample.endpoint).or_insert(Measured {
            slowness: Slowness::default(),
            samples: 0,
            announced: None,
        });
        known.slowness.record(sample.slowness());
        known.samples += 1;
        let class = sample.reclassified(known.slowness.expected()).class;
        let is_new = known
            .announced
            .is_none_or(|(_, announced)| announced.abs_diff(class) >= MIN_CHANGE);
        if known.samples >= MIN_SAMPLES && is_new {
            self.version += 1;
            known.announced = Some((self.version, class));
        }
    }

    /// Returns the speeds that changed after a version.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Changes {
        let announced = self.measured.iter().filter_map(|(endpoint, known)| {
            let (changed, class) = known.announced?;
            let endpoint = *endpoint;
            (changed > version).then_some(Sample { endpoint, class })
        });
        Changes {
            until: self.version,
            samples: announced.collect(),
        }
    }

    /// Returns the incarnation of the collecting node and the version of its speeds that this node has.
    #[must_use]
    pub fn position(&self) -> (u64, u64) {
        self.position
    }

    /// Adopts speeds that the collecting node announced, up to a position.
    pub fn adopt(&mut self, samples: &[Sample], position: (u64, u64)) {
        if self.adopted.len() > MAX_ENDPOINTS {
            self.adopted.clear();
        }
        self.adopted
            .extend(samples.iter().map(|sample| (sample.endpoint, *sample)));
        self.position = position;
    }

    /// Returns the slowness of an endpoint on which the nodes agree: as announced by this node, or by
    /// the one that collects for it.
    #[must_use]
    pub fn agreed(&self, endpoint: u32) -> Option<f64> {
        let measured = self.measured.get(&endpoint).and_then(|m| m.announced);
        let own = measured.map(|(_, class)| Sample { endpoint, class });
        let sample = own.or_else(|| self.adopted.get(&endpoint).copied())?;
        Some(sample.slowness())
    }

    fn forget_oldest(&mut self) {
        let oldest = self.version.saturating_sub(MAX_ENDPOINTS as u64 / 2);
        let is_recent = |known: &Measured| known.announced.is_some_and(|(at, _)| at > oldest);
        self.measured.retain(|_, known| is_recent(known));
    }
}
