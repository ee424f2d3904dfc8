//! YAML documents that are checked as a whole: every problem at once, with path and position.
//!
//! [`Document::bind`] hands out a [`Section`] per mapping. Reading a field records what is wrong
//! with it and goes on with a default, so that one run finds all problems. Keys that were never
//! read are reported as unknown.

mod document;
mod problem;
mod section;
mod value;

pub use self::document::Document;
pub use self::problem::{Issue, Problem, Problems};
pub use self::section::Section;
