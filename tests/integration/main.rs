//! Integration tests, one file per feature.

mod admission;
mod broken_files;
mod end_to_end;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod membership;
mod operators;
mod peer;
mod relay;
mod replay;
mod retry;
mod rollout_policy;
mod routing;
