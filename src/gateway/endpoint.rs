use slotmap::new_key_type;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

use super::{Health, Load, PrefixCache, Prompt, Registration};

new_key_type! {
    /// Key of an endpoint in a [`Fleet`](super::Fleet).
    pub struct Key;
}

/// Tokens of prompts that an engine reads in a millisecond, before any response was seen; engines
/// of the present generation read 40 to 50.
const FIRST_PREFILL_RATE: f64 = 40.0;

/// Time of a plain request before any response was seen.
const FIRST_SERVICE_TIME: Millis = Millis(30);

/// Weight of a new observation in the averages.
const SMOOTHING: f64 = 0.1;

/// Age at which a reported load says nothing about the present any more.
const LOAD_AGE: Millis = Millis(1_000);

/// How an endpoint takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes new requests.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It is not listed any more.
    Gone,
}

/// One endpoint as this node sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// What it states about itself.
    pub registration: Registration,
    /// How it takes part.
    pub lifecycle: Lifecycle,
    /// When the standing last changed.
    pub lifecycle_since: Millis,
    /// Since when its entry is missing though it may be alive.
    pub missing_since: Option<Millis>,
    /// Requests of this node that it has now.
    pub inflight: u32,
    /// When anything of a response last arrived from it.
    pub last_received: Millis,
    /// Prompt tokens of this node that it has still to read.
    pub pending_tokens: u64,
    /// Prompt tokens of the other nodes that it has still to read, as they said last.
    pub remote_pending_tokens: u64,
    /// Requests of the other nodes that it has, as they said last.
    pub remote_inflight: u32,
    /// What the outcomes of requests say.
    pub health: Health,
    /// Shared parts that it is believed to keep.
    pub prefixes: PrefixCache,
    /// Cancelled when it is gone or does not answer.
    pub lost: CancellationToken,
    load: Option<(Load, Millis)>,
    sent_since_load: u32,
    prefill_rate: f64,
    service_time: f64,
}

impl Endpoint {
    /// Creates an endpoint that was listed just now.
    #[must_use]
    pub fn new(registration: Registration, memory_tokens: u64, now: Millis) -> Self {
        Self {
            lifecycle: Lifecycle::Ready,
            lifecycle_since: now,
            missing_since: None,
            inflight: 0,
            last_received: Millis::ZERO,
            pending_tokens: 0,
            remote_pending_tokens: 0,
            remote_inflight: 0,
            health: Health::default(),
            prefixes: PrefixCache::new(memory_tokens),
            lost: CancellationToken::new(),
            load: None,
            sent_since_load: 0,
            prefill_rate: FIRST_PREFILL_RATE,
            service_time: FIRST_SERVICE_TIME.as_f64(),
            registration,
        }
    }
}

/// Evidence.
impl Endpoint {
    /// Notes that a request was sent.
    pub fn record_sent(&mut self) {
        self.inflight += 1;
        self.sent_since_load += 1;
    }

    /// Notes a load that the endpoint reported.
    pub fn record_load(&mut self, load: Load, now: Millis) {
        self.load = Some((load, now));
        self.sent_since_load = 0;
    }

    /// Notes how long the endpoint took from the request to the first event of its response, with
    /// so many tokens to read before.
    pub fn record_first_event(&mut self, tokens: u64, took: Millis) {
        if tokens < 500 {
            return;
        }
        let rate = (tokens as f64 / took.as_f64().max(1.0)).clamp(4.0, 80.0);
        self.prefill_rate += SMOOTHING * (rate - self.prefill_rate);
    }

    /// Notes how long a plain request took.
    pub fn record_service_time(&mut self, took: Millis) {
        self.service_time += SMOOTHING * (took.as_f64() - self.service_time);
    }
}

/// Estimates.
impl Endpoint {
    /// Returns the requests that the endpoint has, from its last report and what was sent since.
    #[must_use]
    pub fn outstanding_requests(&self, now: Millis) -> u32 {
        let known = self.inflight + self.remote_inflight;
        match self.load {
            Some((load, at)) if now - at < LOAD_AGE => {
                known.max(load.running + load.waiting + self.sent_since_load)
            }
            _ => known,
        }
    }

    /// Returns the prompt tokens that the endpoint would have to read for a request beyond what it
    /// keeps.
    #[must_use]
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .input_tokens
            .saturating_sub(self.prefixes.cached_tokens(prompt.shared_segments()))
    }

    /// Returns the prompt tokens that wait at the endpoint.
    #[must_use]
    pub fn total_pending_tokens(&self) -> u64 {
        self.pending_tokens + self.remote_pending_tokens
    }

    /// Returns the time in milliseconds in which the endpoint reads so many tokens.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// Returns the time in milliseconds after which a plain request sent now would be answered.
    #[must_use]
    pub fn expected_response_ms(&self, now: Millis) -> f64 {
        let slots = f64::from(self.registration.slots.max(1));
        let rounds = (f64::from(self.outstanding_requests(now)) - slots + 1.0).max(0.0) / slots;
        self.service_time * (1.0 + rounds)
    }
}
