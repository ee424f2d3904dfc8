//! Integration tests, one file per feature.

mod broken_files;
mod end_to_end;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod operators;
mod peer;
mod relay;
mod rollout_policy;
mod rollouts;
