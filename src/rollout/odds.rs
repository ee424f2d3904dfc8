/// Events among the requests of both versions on one route during one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stratum {
    /// Observed requests of the new version.
    pub new: u32,
    /// Events among them.
    pub new_events: u32,
    /// Observed requests of the old version.
    pub old: u32,
    /// Events among them.
    pub old_events: u32,
}

/// Partial sum above which the terms are rescaled to avoid an overflow.
const RESCALE_ABOVE: f64 = 1e200;

/// Returns the log likelihood ratio of the odds ratio `alternative` against `null`.
///
/// The ratio is conditional on the number of events in the stratum, which eliminates the unknown
/// event rate of the period: given the total, the number of events of the new version follows
/// Fisher's noncentral hypergeometric distribution. The expectation of the likelihood ratio is at
/// most 1 for every true odds ratio up to `null`, whatever the event rate.
#[must_use]
pub fn log_ratio(stratum: Stratum, null: f64, alternative: f64) -> f64 {
    let events = stratum.new_events + stratum.old_events;
    let all = stratum.new + stratum.old;
    if stratum.new == 0 || stratum.old == 0 || events == 0 || events == all {
        return 0.0;
    }
    let lowest = events.saturating_sub(stratum.old);
    let shift = f64::from(stratum.new_events - lowest.min(stratum.new_events));
    shift * (alternative / null).ln()
        - (log_normalizer(stratum, alternative) - log_normalizer(stratum, null))
}

/// Returns the log of the distribution's normalizing constant, up to a constant per stratum.
fn log_normalizer(stratum: Stratum, odds: f64) -> f64 {
    let events = stratum.new_events + stratum.old_events;
    let lowest = events.saturating_sub(stratum.old);
    let highest = events.min(stratum.new);
    let (mut term, mut sum, mut log_scale) = (1.0_f64, 1.0_f64, 0.0_f64);
    for x in lowest..highest {
        let up = f64::from(stratum.new - x) * f64::from(events - x);
        let down = f64::from(x + 1) * f64::from(stratum.old + x + 1 - events);
        term *= odds * up / down;
        sum += term;
        if sum > RESCALE_ABOVE {
            term /= RESCALE_ABOVE;
            sum /= RESCALE_ABOVE;
            log_scale += RESCALE_ABOVE.ln();
        }
    }
    sum.ln() + log_scale
}
