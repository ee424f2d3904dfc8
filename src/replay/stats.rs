use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hdrhistogram::Histogram;

use crate::config::Class;
use crate::routing::BLOCK_TOKENS;

use super::outcome::Samples;
use super::{Endpoint, Options, Outcome, Request};

/// Minimum number of dispatches in a second for the second to count towards the largest share of
/// one endpoint.
const MIN_DISPATCHES: u32 = 20;

/// Measurements collected during a replay.
#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) retries: u64,
    /// Virtual time at which the last request ended.
    pub(super) last_end_us: u64,
    samples: BTreeMap<(Arc<str>, Class), Samples>,
    /// Blocks that some engine has computed.
    computed: HashSet<u64>,
    prefill_tokens: u64,
    recomputed_tokens: u64,
    /// The current second of virtual time and its dispatches by engine.
    dispatches: (u64, HashMap<usize, u32>),
    largest_share: f64,
}

/// Requests.
impl Stats {
    /// Returns the measurements of the request's account and class.
    pub(super) fn samples_of(&mut self, request: &Request) -> &mut Samples {
        let key = (Arc::clone(&request.account), request.class);
        self.samples.entry(key).or_default()
    }

    pub(super) fn record_first_token(&mut self, request: &Request, latency_us: u64) {
        record(&mut self.samples_of(request).first_token_us, latency_us);
    }

    pub(super) fn record_token_gap(&mut self, request: &Request, gap_us: u64) {
        record(&mut self.samples_of(request).token_gap_us, gap_us);
    }

    /// Counts a finished request as good or late by the time since its arrival.
    pub(super) fn record_completion(
        &mut self,
        request: &Request,
        output_tokens: u32,
        total_us: u64,
    ) {
        let tokens = u64::from(request.prompt_tokens) + u64::from(output_tokens);
        let samples = self.samples_of(request);
        record(&mut samples.total_us, total_us);
        if total_us <= request.deadline_ms.0 * 1_000 {
            samples.good += 1;
            samples.good_tokens += tokens;
        } else {
            samples.late += 1;
        }
    }
}

/// Attempts.
impl Stats {
    /// Counts a dispatch to an engine, which has to recompute the tokens generated before.
    pub(super) fn record_dispatch(&mut self, engine: usize, generated: u32, now_us: u64) {
        self.recomputed_tokens += u64::from(generated);
        let second = now_us / 1_000_000;
        if self.dispatches.0 != second {
            let total: u32 = self.dispatches.1.values().sum();
            let most = self.dispatches.1.values().max().copied().unwrap_or(0);
            if total >= MIN_DISPATCHES {
                let share = f64::from(most) / f64::from(total);
                self.largest_share = self.largest_share.max(share);
            }
            self.dispatches = (second, HashMap::new());
        }
        *self.dispatches.1.entry(engine).or_default() += 1;
    }

    /// Counts the prefill of a prompt: its uncached tokens and the blocks to compute.
    pub(super) fn record_prefill(&mut self, tokens: u32, blocks: &[u64]) {
        self.prefill_tokens += u64::from(tokens);
        let recomputed = blocks.iter().filter(|block| !self.computed.insert(**block));
        self.recomputed_tokens += recomputed.count() as u64 * u64::from(BLOCK_TOKENS);
    }
}

/// Result.
impl Stats {
    /// Returns the outcome of the replay.
    pub(super) fn into_outcome(self, options: &Options, endpoints: &[Endpoint]) -> Outcome {
        let seconds = self.last_end_us as f64 / 1e6;
        Outcome {
            policy: options.policy,
            seed: options.seed,
            engines: endpoints.len(),
            price: endpoints.iter().map(|endpoint| endpoint.price).sum(),
            seconds,
            prefill_tokens: self.prefill_tokens,
            recomputed_tokens: self.recomputed_tokens,
            retries: self.retries,
            largest_share: self.largest_share,
            rows: Outcome::rows(&self.samples, seconds.max(1e-3)),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, value_us: u64) {
    // Recording cannot fail: the histogram resizes automatically.
    let _ = histogram.record(value_us);
}
