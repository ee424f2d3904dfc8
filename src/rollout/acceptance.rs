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
    let needed = (1.0 / FALSE_ACCEPT).ln() * evidence;
    Metric::ALL
        .into_iter()
        .all(|metric| log_likelihood_good(counters, metric) >= needed)
}

/// Returns the log likelihood ratio of the old version's event rate against the harmful rate.
fn log_likelihood_good(counters: Comparison, metric: Metric) -> f64 {
    let stratum = counters.stratum(metric);
    // Adding half an event keeps the rate above 0 when no event was observed yet.
    let good = (f64::from(stratum.old_events) + 0.5) / (f64::from(stratum.old) + 1.0);
    let good = good.clamp(0.005, 0.9);
    let harmful = metric.harmful_rate(good);
    let events = f64::from(stratum.new_events);
    let others = f64::from(stratum.new) - events;
    events * (good / harmful).ln() + others * ((1.0 - good) / (1.0 - harmful)).ln()
}
