use super::{Metric, Stratum, log_ratio};

/// Maximum probability that the rollout of a tolerable version is tripped.
pub const MAX_FALSE_TRIP_PROBABILITY: f64 = 0.01;

/// Upper limit of the statistic, which keeps it finite; far above any threshold.
const MAX_STATISTIC: f64 = 1e300;

/// A sequential test for a version that is bad from the start or becomes bad later.
///
/// The statistic is a mixture of likelihood ratios, one starting at each period (Shiryaev-Roberts),
/// with half of the weight on the first period. Without a fault its expectation grows by 1 per
/// period, so that it reaches `2 * periods / false_alarm_rate` within `periods` with a probability
/// of at most `false_alarm_rate` (Ville's inequality). This holds for any event rate and any
/// stopping rule.
#[derive(Clone, Debug)]
pub struct Detector {
    metric: Metric,
    statistics: [f64; 2],
    threshold: f64,
}

impl Detector {
    /// Creates a test over at most `periods` periods with the given probability of a false alarm.
    #[must_use]
    pub fn new(metric: Metric, periods: u32, false_alarm_rate: f64) -> Self {
        let periods = f64::from(periods.max(1));
        Self {
            metric,
            statistics: [periods; 2],
            threshold: 2.0 * periods / false_alarm_rate,
        }
    }

    /// Adds the events of one period and returns whether the version is found bad.
    pub fn push(&mut self, stratum: Stratum) -> bool {
        let tolerated = self.metric.tolerated_odds_ratio();
        let alternatives = self.metric.alternative_odds_ratios();
        for (statistic, alternative) in self.statistics.iter_mut().zip(alternatives) {
            let ratio = log_ratio(stratum, tolerated, alternative).exp();
            *statistic = ((*statistic + 1.0) * ratio).min(MAX_STATISTIC);
        }
        self.mean() >= self.threshold
    }

    /// Returns how close the evidence is to a trip, on a log scale from 0 to 1.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        (self.mean().max(1.0).ln() / self.threshold.ln()).clamp(0.0, 1.0)
    }

    fn mean(&self) -> f64 {
        f64::midpoint(self.statistics[0], self.statistics[1])
    }
}
