use std::collections::VecDeque;

use crate::config::Class;
use crate::routing::{BLOCK_TOKENS, Report};

use super::cache::Cache;

/// The speed and capacity of the simulated engines.
///
/// A step generates one token for each running request whose prefill is complete and prefills up
/// to `chunk_tokens` prompt tokens, those of interactive requests first. Its duration grows with
/// both, so a prefill slows down the requests in the same batch.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Fixed part of the duration of a step, in microseconds.
    pub step_us: u64,
    /// Time that each running request adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time to prefill one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineModel {
    /// Returns an engine with 16 slots that prefills 10,000 prompt tokens per second.
    ///
    /// Its longest step takes 20 + 8 + 25.6 ms, which is below the inter-token latency target of
    /// 70 ms.
    fn default() -> Self {
        Self {
            slots: 16,
            step_us: 20_000,
            sequence_us: 500,
            prefill_us: 100,
            chunk_tokens: 256,
            cache_blocks: 800,
        }
    }
}

/// A request that is queued or runs at an engine.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    /// Index of the request in the trace.
    pub(super) request: usize,
    pub(super) class: Class,
    pub(super) prompt_tokens: u32,
    /// Prefix block hashes of the prompt.
    pub(super) blocks: Vec<u64>,
    /// Tokens to generate.
    pub(super) output_tokens: u32,
    /// Tokens generated so far.
    pub(super) generated: u32,
    pub(super) cached_tokens: u32,
    /// Prompt tokens that still have to be prefilled.
    remaining_prefill: u32,
    last_token_us: u64,
}

impl Sequence {
    pub(super) fn new(
        request: usize,
        class: Class,
        prompt_tokens: u32,
        blocks: Vec<u64>,
        output_tokens: u32,
    ) -> Self {
        Self {
            request,
            class,
            prompt_tokens,
            blocks,
            output_tokens,
            generated: 0,
            cached_tokens: 0,
            remaining_prefill: 0,
            last_token_us: 0,
        }
    }
}

/// An event of an engine's step.
#[derive(Debug)]
pub(super) enum StepEvent {
    /// The prefill of a request starts: `cached` of its prompt tokens are in the prefix cache, and
    /// `computed` lists the blocks that are not.
    Started {
        request: usize,
        cached: u32,
        computed: Vec<u64>,
    },
    /// A request generated its first token.
    FirstToken(usize),
    /// A request generated another token, this many microseconds after the previous one.
    NextToken(usize, u64),
    /// A request generated its last token.
    Finished(usize),
    /// The prefix cache stored blocks and evicted others.
    CacheChanged { stored: Vec<u64>, evicted: Vec<u64> },
}

/// An engine with continuous batching and a prefix cache.
#[derive(Debug)]
pub(super) struct Engine {
    model: EngineModel,
    /// Queued requests by class.
    queue: [VecDeque<Sequence>; 2],
    running: Vec<Sequence>,
    cache: Cache,
    /// Virtual time in microseconds at which the current step ends; `None` when the engine is idle.
    pub(super) busy_until: Option<u64>,
}

impl Engine {
    pub(super) fn new(model: EngineModel) -> Self {
        Self {
            model,
            queue: [VecDeque::new(), VecDeque::new()],
            running: Vec::new(),
            cache: Cache::new(model.cache_blocks),
            busy_until: None,
        }
    }

    pub(super) fn enqueue(&mut self, sequence: Sequence) {
        self.queue[sequence.class as usize].push_back(sequence);
    }

    /// Returns the load as the engine reports it to the nodes.
    pub(super) fn report(&self) -> Report {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Report {
            running: count(self.running.len()),
            queued: count(self.queue.iter().map(VecDeque::len).sum()),
            slots: self.model.slots,
        }
    }

    /// Removes and returns all requests, the running ones first.
    pub(super) fn drain(&mut self) -> Vec<Sequence> {
        self.busy_until = None;
        let [interactive, long] = &mut self.queue;
        let queued = interactive.drain(..).chain(long.drain(..));
        self.running.drain(..).chain(queued).collect()
    }

    /// Starts a step and returns the time of its end; `None` when there is no work.
    pub(super) fn start_step(&mut self, now_us: u64, events: &mut Vec<StepEvent>) -> Option<u64> {
        self.admit(events);
        if self.running.is_empty() {
            self.busy_until = None;
            return None;
        }
        let prefilled = self.prefill();
        let duration_us = self.model.step_us
            + self.model.sequence_us * self.running.len() as u64
            + self.model.prefill_us * u64::from(prefilled);
        self.busy_until = Some(now_us + duration_us);
        self.busy_until
    }

    /// Finishes the current step: each request whose prefill is complete generates a token.
    pub(super) fn finish_step(&mut self, now_us: u64, events: &mut Vec<StepEvent>) {
        let mut stored = Vec::new();
        for sequence in self.running.iter_mut().filter(|s| s.remaining_prefill == 0) {
            sequence.generated += 1;
            if sequence.generated == 1 {
                events.push(StepEvent::FirstToken(sequence.request));
                stored.push(sequence.blocks.clone());
            } else {
                let gap = now_us - sequence.last_token_us;
                events.push(StepEvent::NextToken(sequence.request, gap));
            }
            sequence.last_token_us = now_us;
        }
        for blocks in stored {
            let evicted = self.cache.insert(&blocks);
            events.push(StepEvent::CacheChanged {
                stored: blocks,
                evicted,
            });
        }
        let is_finished = |s: &mut Sequence| s.generated >= s.output_tokens;
        let ended = self.running.extract_if(.., is_finished);
        events.extend(ended.map(|s| StepEvent::Finished(s.request)));
    }

    /// Moves queued requests into free slots, interactive ones first.
    fn admit(&mut self, events: &mut Vec<StepEvent>) {
        while self.running.len() < self.model.slots as usize {
            let [interactive, long] = &mut self.queue;
            let Some(mut next) = interactive.pop_front().or_else(|| long.pop_front()) else {
                return;
            };
            let matched = self.cache.matched_blocks(&next.blocks);
            let cached = u32::try_from(matched).unwrap_or(u32::MAX) * BLOCK_TOKENS;
            // The last prompt token is always computed: its output is the first generated token.
            next.cached_tokens = cached.min(next.prompt_tokens.saturating_sub(1));
            next.remaining_prefill = next.prompt_tokens - next.cached_tokens;
            events.push(StepEvent::Started {
                request: next.request,
                cached: next.cached_tokens,
                computed: next.blocks[matched..].to_vec(),
            });
            self.running.push(next);
        }
    }

    /// Prefills up to `chunk_tokens` prompt tokens, interactive requests first, and returns their
    /// number.
    fn prefill(&mut self) -> u32 {
        let mut budget = self.model.chunk_tokens;
        for class in [Class::Interactive, Class::Long] {
            for sequence in self.running.iter_mut().filter(|s| s.class == class) {
                let tokens = sequence.remaining_prefill.min(budget);
                sequence.remaining_prefill -= tokens;
                budget -= tokens;
            }
        }
        self.model.chunk_tokens - budget
    }
}
