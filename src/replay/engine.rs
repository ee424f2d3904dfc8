use std::collections::VecDeque;

use crate::config::Class;
use crate::routing::{BLOCK_TOKENS, Report};

use super::cache::Cache;

/// The speed and size of the modelled engines.
///
/// One step generates a token for each running request and computes up to `chunk_tokens` of
/// waiting prompts, interactive ones first. Its time grows with both, so that a prompt slows the
/// requests that run beside it.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Requests served at the same time.
    pub slots: u32,
    /// Time of a step without any work, in microseconds.
    pub step_us: u64,
    /// Time added by each running request, in microseconds.
    pub sequence_us: u64,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Prompt tokens computed in one step.
    pub chunk_tokens: u32,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
}

impl Default for EngineModel {
    /// An engine of 10,000 prompt tokens a second and 16 slots. The longest step takes
    /// 20 + 8 + 25.6 ms, which leaves room below the inter-token target of 70 ms.
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

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) request: usize,
    pub(super) class: Class,
    pub(super) prompt_tokens: u32,
    pub(super) blocks: Vec<u64>,
    pub(super) output_tokens: u32,
    pub(super) generated: u32,
    pub(super) cached_tokens: u32,
    prefill_left: u32,
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
            prefill_left: 0,
            last_token_us: 0,
        }
    }
}

/// What happened in a step.
#[derive(Debug)]
pub(super) enum Happened {
    /// A request began: its uncached blocks were computed.
    Started {
        request: usize,
        cached: u32,
        computed: Vec<u64>,
    },
    /// A request got its first token.
    First(usize),
    /// A request got another token after this time in microseconds.
    Next(usize, u64),
    /// A request ended.
    Done(usize),
    /// Blocks entered and left the cache.
    Cached { stored: Vec<u64>, evicted: Vec<u64> },
}

/// An engine with continuous batching and a prefix cache.
#[derive(Debug)]
pub(super) struct Engine {
    model: EngineModel,
    queue: [VecDeque<Sequence>; 2],
    running: Vec<Sequence>,
    cache: Cache,
    /// End of the step in progress.
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

    pub(super) fn push(&mut self, sequence: Sequence) {
        self.queue[sequence.class as usize].push_back(sequence);
    }

    pub(super) fn report(&self) -> Report {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Report {
            running: count(self.running.len()),
            queued: count(self.queue.iter().map(VecDeque::len).sum()),
            slots: self.model.slots,
        }
    }

    /// Takes all requests out of a lost engine.
    pub(super) fn lose(&mut self) -> Vec<Sequence> {
        self.busy_until = None;
        let [interactive, long] = &mut self.queue;
        let queued = interactive.drain(..).chain(long.drain(..));
        self.running.drain(..).chain(queued).collect()
    }

    /// Starts a step and returns its end; none when there is nothing to do.
    pub(super) fn start(&mut self, now_us: u64, happened: &mut Vec<Happened>) -> Option<u64> {
        self.admit(happened);
        if self.running.is_empty() {
            self.busy_until = None;
            return None;
        }
        let prefilled = self.prefill();
        let length = self.model.step_us
            + self.model.sequence_us * self.running.len() as u64
            + self.model.prefill_us * u64::from(prefilled);
        self.busy_until = Some(now_us + length);
        self.busy_until
    }

    /// Ends the step in progress: each request whose prompt is computed gets a token.
    pub(super) fn finish(&mut self, now_us: u64, happened: &mut Vec<Happened>) {
        let mut stored = Vec::new();
        for sequence in self.running.iter_mut().filter(|s| s.prefill_left == 0) {
            sequence.generated += 1;
            if sequence.generated == 1 {
                happened.push(Happened::First(sequence.request));
                stored.push(sequence.blocks.clone());
            } else {
                let gap = now_us - sequence.last_token_us;
                happened.push(Happened::Next(sequence.request, gap));
            }
            sequence.last_token_us = now_us;
        }
        for blocks in stored {
            let evicted = self.cache.store(&blocks);
            happened.push(Happened::Cached {
                stored: blocks,
                evicted,
            });
        }
        let done = |s: &mut Sequence| s.generated >= s.output_tokens;
        let ended = self.running.extract_if(.., done);
        happened.extend(ended.map(|s| Happened::Done(s.request)));
    }

    fn admit(&mut self, happened: &mut Vec<Happened>) {
        while self.running.len() < self.model.slots as usize {
            let [interactive, long] = &mut self.queue;
            let Some(mut next) = interactive.pop_front().or_else(|| long.pop_front()) else {
                return;
            };
            let matched = self.cache.matched(&next.blocks);
            let cached = u32::try_from(matched).unwrap_or(u32::MAX) * BLOCK_TOKENS;
            // At least the last prompt token is computed, as its output is the first token.
            next.cached_tokens = cached.min(next.prompt_tokens.saturating_sub(1));
            next.prefill_left = next.prompt_tokens - next.cached_tokens;
            happened.push(Happened::Started {
                request: next.request,
                cached: next.cached_tokens,
                computed: next.blocks[matched..].to_vec(),
            });
            self.running.push(next);
        }
    }

    /// Spends the step's prompt tokens, interactive requests first, and returns their number.
    fn prefill(&mut self) -> u32 {
        let mut left = self.model.chunk_tokens;
        for class in [Class::Interactive, Class::Long] {
            for sequence in self.running.iter_mut().filter(|s| s.class == class) {
                let part = sequence.prefill_left.min(left);
                sequence.prefill_left -= part;
                left -= part;
            }
        }
        self.model.chunk_tokens - left
    }
}
