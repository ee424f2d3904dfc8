//! Integration tests, one file per feature.

mod at_most_once;
mod call_harness;
mod end_to_end;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod ledger;
mod log_outage;
mod refusals;
