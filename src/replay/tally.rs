use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hdrhistogram::Histogram;

use crate::config::Class;
use crate::routing::BLOCK_TOKENS;

use super::outcome::Samples;
use super::{Endpoint, Options, Outcome, Request};

/// Dispatches of a second from which on it counts for the largest share of one endpoint.
const MIN_DISPATCHES: u32 = 20;

/// What is measured during a replay.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) retries: u64,
    pub(super) last_end_us: u64,
    samples: BTreeMap<(Arc<str>, Class), Samples>,
    computed: HashSet<u64>,
    prefill_tokens: u64,
    recomputed_tokens: u64,
    second: (u64, HashMap<usize, u32>),
    largest_share: f64,
}

/// Requests.
impl Tally {
    pub(super) fn of(&mut self, request: &Request) -> &mut Samples {
        let key = (Arc::clone(&request.account), request.class);
        self.samples.entry(key).or_default()
    }

    pub(super) fn first(&mut self, request: &Request, micros: u64) {
        record(&mut self.of(request).first, micros);
    }

    pub(super) fn next(&mut self, request: &Request, micros: u64) {
        record(&mut self.of(request).next, micros);
    }

    /// Counts a finished request by the time since its arrival.
    pub(super) fn done(&mut self, request: &Request, output_tokens: u32, micros: u64) {
        let tokens = u64::from(request.prompt_tokens) + u64::from(output_tokens);
        let samples = self.of(request);
        record(&mut samples.total, micros);
        if micros <= request.deadline_ms.0 * 1_000 {
            samples.good += 1;
            samples.good_tokens += tokens;
        } else {
            samples.late += 1;
        }
    }
}

/// Attempts.
impl Tally {
    /// Counts a dispatch to an engine, after which tokens generated before are computed again.
    pub(super) fn dispatched(&mut self, engine: usize, generated: u32, now_us: u64) {
        self.recomputed_tokens += u64::from(generated);
        let second = now_us / 1_000_000;
        if self.second.0 != second {
            let total: u32 = self.second.1.values().sum();
            let most = self.second.1.values().max().copied().unwrap_or(0);
            if total >= MIN_DISPATCHES {
                let share = f64::from(most) / f64::from(total);
                self.largest_share = self.largest_share.max(share);
            }
            self.second = (second, HashMap::new());
        }
        *self.second.1.entry(engine).or_default() += 1;
    }

    /// Counts the prefill of a prompt.
    pub(super) fn prefilled(&mut self, tokens: u32, blocks: &[u64]) {
        self.prefill_tokens += u64::from(tokens);
        let again = blocks.iter().filter(|block| !self.computed.insert(**block));
        self.recomputed_tokens += again.count() as u64 * u64::from(BLOCK_TOKENS);
    }
}

/// The end.
impl Tally {
    pub(super) fn outcome(self, options: &Options, sites: &[Endpoint]) -> Outcome {
        let seconds = self.last_end_us as f64 / 1e6;
        Outcome {
            policy: options.policy,
            seed: options.seed,
            engines: sites.len(),
            price: sites.iter().map(|site| site.price).sum(),
            seconds,
            prefill_tokens: self.prefill_tokens,
            recomputed_tokens: self.recomputed_tokens,
            retries: self.retries,
            largest_share: self.largest_share,
            rows: Outcome::rows(&self.samples, seconds.max(1e-3)),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, micros: u64) {
    // The histogram grows as needed, so that every value can be recorded.
    let _ = histogram.record(micros);
}
