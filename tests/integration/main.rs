//! Integration tests, one file per feature.

mod end_to_end;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod retry;
mod routing;
