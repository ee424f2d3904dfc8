use serde::{Deserialize, Serialize};

/// What is compared between two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Requests that failed.
    Failures,
    /// Responses whose first token (or whole answer, for plain services) came late.
    FirstToken,
    /// Responses whose tokens came slowly.
    TokenGap,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Self; 3] = [Self::Failures, Self::FirstToken, Self::TokenGap];

    /// Returns the odds ratio between new and old version that is still tolerated.
    ///
    /// A new version starts with cold caches, so that somewhat more of its responses are late.
    #[must_use]
    pub const fn tolerated(self) -> f64 {
        match self {
            Self::Failures => 1.5,
            Self::FirstToken | Self::TokenGap => 2.0,
        }
    }

    /// Returns the odds ratios for which the sequential test is most powerful.
    #[must_use]
    pub const fn alternatives(self) -> [f64; 2] {
        match self {
            Self::Failures => [8.0, 60.0],
            Self::FirstToken | Self::TokenGap => [5.0, 25.0],
        }
    }

    /// Returns the event rate from which a version is harmful, for this rate of the old version.
    #[must_use]
    pub fn harmful(self, old: f64) -> f64 {
        match self {
            Self::Failures => (old + 0.10).min(0.95),
            Self::FirstToken | Self::TokenGap => {
                let odds = old / (1.0 - old) * 5.0;
                odds / (1.0 + odds)
            }
        }
    }

    /// Returns the name for reasons shown to operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstToken => "time to first token",
            Self::TokenGap => "inter-token time",
        }
    }
}
