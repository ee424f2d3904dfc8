//! Integration tests, one file per feature.

mod admission;
mod broken_files;
mod end_to_end;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod peer;
mod relay;
mod retry;
mod routing;
