use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::config::Class;
use crate::routing::Policy;

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7.0}{:>7.0}{:>7.0}", self.p50, self.p95, self.p99)
    }
}

/// Measurements of a group of requests; durations are in microseconds.
#[derive(Debug)]
pub(super) struct Samples {
    pub(super) requests: u64,
    pub(super) good: u64,
    pub(super) good_tokens: u64,
    pub(super) refused: u64,
    pub(super) late: u64,
    /// Time from arrival to the first token.
    pub(super) first_token_us: Histogram<u64>,
    /// Time between two tokens of a request.
    pub(super) token_gap_us: Histogram<u64>,
    /// Time from arrival to the last token.
    pub(super) total_us: Histogram<u64>,
}

impl Default for Samples {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three significant digits are valid");
        Self {
            requests: 0,
            good: 0,
            good_tokens: 0,
            refused: 0,
            late: 0,
            first_token_us: histogram(),
            token_gap_us: histogram(),
            total_us: histogram(),
        }
    }
}

impl Samples {
    /// Adds the measurements of another group.
    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.good += other.good;
        self.good_tokens += other.good_tokens;
        self.refused += other.refused;
        self.late += other.late;
        // Adding cannot fail: the histograms have the same precision and resize automatically.
        let _ = self.first_token_us.add(&other.first_token_us);
        let _ = self.token_gap_us.add(&other.token_gap_us);
        let _ = self.total_us.add(&other.total_us);
    }
}

/// The measurements of an account and a class, of a class, or of all requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Client account; `None` covers all accounts.
    pub account: Option<Arc<str>>,
    /// Scheduling class; `None` covers both.
    pub class: Option<Class>,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that finished within their deadline.
    pub good: u64,
    /// Prompt and generated tokens per second, of the requests that finished within their deadline.
    pub goodput: f64,
    /// Requests that admission refused before they were dispatched.
    pub refused: u64,
    /// Requests that admission accepted but that missed their deadline or failed.
    pub late: u64,
    /// Time from arrival to the first token.
    pub first_token_ms: Percentiles,
    /// Time between two tokens of a request.
    pub inter_token_ms: Percentiles,
    /// Time from arrival to the last token.
    pub total_ms: Percentiles,
}

impl Row {
    pub(super) fn new(
        account: Option<Arc<str>>,
        class: Option<Class>,
        samples: &Samples,
        seconds: f64,
    ) -> Self {
        Self {
            account,
            class,
            requests: samples.requests,
            good: samples.good,
            goodput: samples.good_tokens as f64 / seconds,
            refused: samples.refused,
            late: samples.late,
            first_token_ms: percentiles(&samples.first_token_us),
            inter_token_ms: percentiles(&samples.token_gap_us),
            total_ms: percentiles(&samples.total_us),
        }
    }
}

/// The outcome of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Routing policy.
    pub policy: Policy,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Number of endpoints.
    pub engines: usize,
    /// Price of all endpoints per hour.
    pub price: f64,
    /// Virtual time until the last request ended.
    pub seconds: f64,
    /// Prompt tokens that the engines prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens prefilled although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Attempts beyond the first of each request.
    pub retries: u64,
    /// Largest share of the dispatches within one second that went to a single endpoint.
    pub largest_share: f64,
    /// All requests, then each class, then each account and class.
    pub rows: Vec<Row>,
}

impl Outcome {
    /// Aggregates the measurements into rows; `seconds` is the duration that rates refer to.
    pub(super) fn rows(samples: &BTreeMap<(Arc<str>, Class), Samples>, seconds: f64) -> Vec<Row> {
        let mut all = Samples::default();
        let mut classes: BTreeMap<Class, Samples> = BTreeMap::new();
        for ((_, class), group) in samples {
            all.add(group);
            classes.entry(*class).or_default().add(group);
        }
        let classes = classes
            .iter()
            .map(|(class, group)| Row::new(None, Some(*class), group, seconds));
        let accounts = samples.iter().map(|((account, class), group)| {
            Row::new(Some(Arc::clone(account)), Some(*class), group, seconds)
        });
        std::iter::once(Row::new(None, None, &all, seconds))
            .chain(classes)
            .chain(accounts)
            .collect()
    }

    /// Returns the row of an account and a class; `None` stands for all accounts or all classes.
    #[must_use]
    pub fn row(&self, account: Option<&str>, class: Option<Class>) -> Option<&Row> {
        self.rows
            .iter()
            .find(|row| row.account.as_deref() == account && row.class == class)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "policy {} seed {}: {} engines at {:.2}/h, {:.1} s, prefill {} tokens, recomputed {}, \
             retries {}, largest share of a second {:.2}",
            self.policy,
            self.seed,
            self.engines,
            self.price,
            self.seconds,
            self.prefill_tokens,
            self.recomputed_tokens,
            self.retries,
            self.largest_share
        )?;
        writeln!(
            f,
            "{:<18}{:<12}{:>8}{:>8}{:>9}{:>8}{:>6}{:>21}{:>21}{:>21}",
            "account",
            "class",
            "requests",
            "good",
            "tokens/s",
            "refused",
            "late",
            "first p50 95 99 ms",
            "next p50 95 99 ms",
            "total p50 95 99 ms"
        )?;
        for row in &self.rows {
            let class = match row.class {
                None => "all",
                Some(Class::Interactive) => "interactive",
                Some(Class::Long) => "long",
            };
            writeln!(
                f,
                "{:<18}{:<12}{:>8}{:>8}{:>9.0}{:>8}{:>6}{}{}{}",
                row.account.as_deref().unwrap_or("all"),
                class,
                row.requests,
                row.good,
                row.goodput,
                row.refused,
                row.late,
                row.first_token_ms,
                row.inter_token_ms,
                row.total_ms
            )?;
        }
        Ok(())
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
