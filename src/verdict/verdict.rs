use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that failed.
///
/// # Examples
///
/// ```
/// use almondpath::verdict::Verdict;
///
/// assert_eq!(Verdict::NotRun.combine(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Combines the verdicts of two attempts at the same request.
    ///
    /// The result never claims less execution than either verdict: it is `NotRun` only if both are.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the name used in bodies, headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
