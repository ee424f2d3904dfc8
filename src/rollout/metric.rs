use serde::{Deserialize, Serialize};

/// A metric by which two versions are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Failed requests.
    Failures,
    /// Responses whose first token was late; for plain services, whose whole response was late.
    FirstToken,
    /// Responses with a high inter-token time.
    TokenGap,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Self; 3] = [Self::Failures, Self::FirstToken, Self::TokenGap];

    /// Returns the largest odds ratio between new and old version that is tolerated.
    ///
    /// A new version starts with cold caches, so that slightly more of its responses are late.
    #[must_use]
    pub const fn tolerated_odds_ratio(self) -> f64 {
        match self {
            Self::Failures => 1.5,
            Self::FirstToken | Self::TokenGap => 2.0,
        }
    }

    /// Returns the odds ratios at which the sequential test has the most power.
    #[must_use]
    pub const fn alternative_odds_ratios(self) -> [f64; 2] {
        match self {
            Self::Failures => [8.0, 60.0],
            Self::FirstToken | Self::TokenGap => [5.0, 25.0],
        }
    }

    /// Returns the event rate from which on a new version is harmful, given the old version's rate.
    #[must_use]
    pub fn harmful_rate(self, old: f64) -> f64 {
        match self {
            Self::Failures => (old + 0.10).min(0.95),
            Self::FirstToken | Self::TokenGap => {
                let odds = old / (1.0 - old) * 5.0;
                odds / (1.0 + odds)
            }
        }
    }

    /// Returns the name shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstToken => "time to first token",
            Self::TokenGap => "inter-token time",
        }
    }
}
