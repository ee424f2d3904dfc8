//! Conversion of YAML documents that reports all problems at once, with paths and positions.
//!
//! [`Document::bind`] passes a [`Section`] for each mapping. If a field is invalid, the section
//! records the problem and returns a default, so that one run finds all problems. Keys that were
//! never read are reported as unknown.

mod document;
mod problem;
mod section;
mod value;

pub use self::document::Document;
pub use self::problem::{Issue, Problem, Problems};
pub use self::section::Section;
