//! Whether a failed request may have run.

mod verdict;

pub use self::verdict::Verdict;
