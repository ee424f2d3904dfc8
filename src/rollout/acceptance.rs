use super::{Comparison, Metric};

/// Maximum probability that one stage accepts a harmful version, per metric and route.
pub const FALSE_ACCEPT: f64 = 0.01;

/// Returns whether the counters rule out that the new version is harmful.
///
/// This is a sequential probability ratio test per metric, of the old version's event rate against
/// the harmful rate [`Metric::harmful_rate`].
#[must_use]
pub fn accepts(counters: Comparison) -> bool {
    accepts_with(counters, 1.0)
}

/// Returns whether the counters rule out that the new version is harmful, with `evidence` times the
/// log likelihood ratio that [`accepts`] requires.
///
/// The probability of a wrong acceptance is then at most [`FALSE_ACCEPT`] to the power of
/// `evidence`.
#[must_use]
pub fn accepts_with(counters: Comparison, evidence: f64) -> bool {
    rules_out(counters, evidence, Metric::harmful_rate)
}

/// Returns whether the counters rule out that the new version has the event rates that
/// `harmful_rate` returns for a metric and the old version's rate; `evidence` as in
/// [`accepts_with`].
#[must_use]
pub fn rules_out<F>(counters: Comparison, evidence: f64, harmful_rate: F) -> bool
where
    F: Fn(Metric, f64) -> f64,
{
    let needed = (1.0 / FALSE_ACCEPT).ln() * evidence;
    let is_ruled_out = |metric| log_ratio_good(counters, metric, &harmful_rate) >= needed;
    Metric::ALL.into_iter().all(is_ruled_out)
}

/// Returns how much the counters of a metric speak for a version that is as good as the old one, as the
/// log likelihood ratio of the old version's event rate against the harmful one; it is negative if they
/// speak for a harmful version.
#[must_use]
pub fn log_ratio_good<F>(counters: Comparison, metric: Metric, harmful_rate: F) -> f64
where
    F: Fn(Metric, f64) -> f64,
{
    let stratum = counters.stratum(metric);
    // Adding half an event keeps the rate above 0 when no event was observed yet.
    let good = (f64::from(stratum.old_events) + 0.5) / (f64::from(stratum.old) + 1.0);
    let good = good.clamp(0.005, 0.9);
    let harmful = harmful_rate(metric, good);
    let events = f64::from(stratum.new_events);
    let others = f64::from(stratum.new) - events;
    events * (good / harmful).ln() + others * ((1.0 - good) / (1.0 - harmful)).ln()
}
