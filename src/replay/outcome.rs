use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::config::Class;
use crate::routing::Policy;

/// Percentiles of a time in milliseconds.
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

/// What is measured of a group of requests; times in microseconds.
#[derive(Debug)]
pub(super) struct Samples {
    pub(super) requests: u64,
    pub(super) good: u64,
    pub(super) good_tokens: u64,
    pub(super) refused: u64,
    pub(super) late: u64,
    pub(super) first: Histogram<u64>,
    pub(super) next: Histogram<u64>,
    pub(super) total: Histogram<u64>,
}

impl Default for Samples {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            requests: 0,
            good: 0,
            good_tokens: 0,
            refused: 0,
            late: 0,
            first: histogram(),
            next: histogram(),
            total: histogram(),
        }
    }
}

impl Samples {
    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.good += other.good;
        self.good_tokens += other.good_tokens;
        self.refused += other.refused;
        self.late += other.late;
        // Histograms of the same precision that resize by themselves always add up.
        let _ = self.first.add(&other.first);
        let _ = self.next.add(&other.next);
        let _ = self.total.add(&other.total);
    }
}

/// The outcome for an account and a class, or for all.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Client account; none for all.
    pub account: Option<Arc<str>>,
    /// Class; none for all.
    pub class: Option<Class>,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests finished before their deadline.
    pub good: u64,
    /// Prompt and generated tokens of the good requests a second.
    pub goodput: f64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests that were dispatched but missed their deadline or failed.
    pub late: u64,
    /// Time from arrival to the first token.
    pub first_token_ms: Percentiles,
    /// Time between two tokens.
    pub inter_token_ms: Percentiles,
    /// Time from arrival to the end.
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
            first_token_ms: percentiles(&samples.first),
            inter_token_ms: percentiles(&samples.next),
            total_ms: percentiles(&samples.total),
        }
    }
}

/// The outcome of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// How endpoints were chosen.
    pub policy: Policy,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Endpoints.
    pub engines: usize,
    /// Price of the endpoints per hour.
    pub price: f64,
    /// Virtual time until the last request ended.
    pub seconds: f64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Largest share of the dispatches of any second that one endpoint got.
    pub largest_share: f64,
    /// All requests, then by class, then by account and class.
    pub rows: Vec<Row>,
}

impl Outcome {
    pub(super) fn rows(samples: &BTreeMap<(Arc<str>, Class), Samples>, seconds: f64) -> Vec<Row> {
        let mut all = Samples::default();
        let mut classes: BTreeMap<Class, Samples> = BTreeMap::new();
        for ((_, class), part) in samples {
            all.add(part);
            classes.entry(*class).or_default().add(part);
        }
        let classes = classes
            .iter()
            .map(|(class, part)| Row::new(None, Some(*class), part, seconds));
        let accounts = samples.iter().map(|((account, class), part)| {
            Row::new(Some(Arc::clone(account)), Some(*class), part, seconds)
        });
        std::iter::once(Row::new(None, None, &all, seconds))
            .chain(classes)
            .chain(accounts)
            .collect()
    }

    /// Returns the row of an account and a class; none stands for all.
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
