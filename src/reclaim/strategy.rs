use crate::clock::Millis;

/// A stream on an engine whose host is about to be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Tokens of the prompt, estimated, and generated tokens.
    pub context_tokens: u32,
    /// Most tokens that are still to be generated.
    pub remaining_tokens: u32,
    /// Time between two tokens, in milliseconds.
    pub token_ms: f64,
}

/// The engine that would continue a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Tokens of the context that are in the engine's prefix cache, estimated.
    pub cached_tokens: u32,
    /// Expected wait until the engine starts.
    pub queue: Millis,
}

/// Speeds and weights by which the choices are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time to export and import the KV cache of one token, in milliseconds.
    pub transfer_ms: f64,
    /// Time of an export and an import of any size.
    pub transfer_base: Millis,
    /// Time to compute one uncached token of the context, in milliseconds.
    pub prefill_ms: f64,
    /// Delay in milliseconds that is as bad as computing one token again.
    pub recompute_weight: f64,
    /// Part of the notice that is left unused, because notices are not exact.
    pub margin: Millis,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            // 160 KB for each token at 1 GB/s, out and in.
            transfer_ms: 0.3,
            transfer_base: Millis(20),
            // 10,000 tokens a second.
            prefill_ms: 0.1,
            recompute_weight: 1.0,
            margin: Millis(500),
        }
    }
}

/// How a stream survives the reclaim of its engine's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The engine finishes within the notice.
    Finish,
    /// The KV cache is moved to the target; nothing is computed again.
    Export,
    /// The target computes prompt and generated tokens again, except the cached ones.
    Resume,
    /// There is no target yet: the engine goes on as long as it can.
    Wait,
}

/// Chooses the cheapest way that is possible within the notice; `notice` is the time left.
///
/// Finishing costs nothing, so it wins whenever the remaining tokens fit. Export costs a
/// transfer; resume costs a prefill and the computation of its tokens.
///
/// # Examples
///
/// ```
/// use almondpath::clock::Millis;
/// use almondpath::reclaim::{Strategy, Costs, Stream, choose};
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
