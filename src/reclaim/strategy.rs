use crate::clock::Millis;

/// A stream on an engine whose host is about to be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Prompt tokens, which are estimated, plus generated tokens.
    pub context_tokens: u32,
    /// Maximum number of tokens that are still to be generated.
    pub remaining_tokens: u32,
    /// Time between two tokens, in milliseconds.
    pub token_ms: f64,
}

/// An engine that could continue the stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Estimated context tokens in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Expected queueing time at the engine.
    pub queue: Millis,
}

/// Costs by which the strategies are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time to export and import the KV cache of one token, in milliseconds.
    pub transfer_ms: f64,
    /// Fixed time of an export and an import, independent of the size.
    pub transfer_base: Millis,
    /// Time to compute one uncached context token, in milliseconds.
    pub prefill_ms: f64,
    /// Delay in milliseconds that costs as much as recomputing one token.
    pub recompute_weight: f64,
    /// Safety margin at the end of the notice, because notices are not exact.
    pub margin: Millis,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            // 160 KB per token at 1 GB/s, once for the export and once for the import.
            transfer_ms: 0.3,
            transfer_base: Millis(20),
            // 10,000 tokens per second.
            prefill_ms: 0.1,
            recompute_weight: 1.0,
            margin: Millis(500),
        }
    }
}

/// How a stream continues when its engine's host is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The engine finishes the stream before the host is reclaimed.
    Finish,
    /// The KV cache is moved to the target, and no tokens are recomputed.
    Export,
    /// The target recomputes the prompt and the generated tokens, except those in its cache.
    Resume,
    /// There is no target yet, so that the engine continues as long as it can.
    Wait,
}

/// Chooses the cheapest strategy that is possible within the notice; `notice` is the time left.
///
/// Finishing costs nothing, so that it is chosen whenever the remaining tokens fit into the notice.
/// An export costs the transfer. Resuming costs the prefill time and the recomputed tokens.
///
/// # Examples
///
/// ```
/// use almondpath::clock::Millis;
/// use almondpath::reclaim::{Costs, Strategy, Stream, choose};
///
/// let stream = Stream { context_tokens: 500, remaining_tokens: 10, token_ms: 20.0 };
/// let strategy = choose(stream, Millis(2_000), None, &Costs::default());
/// assert_eq!(strategy, Strategy::Finish);
/// ```
#[must_use]
pub fn choose(stream: Stream, notice: Millis, target: Option<Target>, costs: &Costs) -> Strategy {
    let usable = (notice - costs.margin).as_f64();
    if f64::from(stream.remaining_tokens) * stream.token_ms <= usable {
        return Strategy::Finish;
    }
    let Some(target) = target else {
        return Strategy::Wait;
    };
    let context = f64::from(stream.context_tokens);
    let transfer = costs.transfer_base.as_f64() + context * costs.transfer_ms;
    let uncached = f64::from(stream.context_tokens.saturating_sub(target.cached_tokens));
    let resume = uncached * (costs.prefill_ms + costs.recompute_weight);
    if transfer <= usable && transfer <= resume {
        Strategy::Export
    } else {
        Strategy::Resume
    }
}
