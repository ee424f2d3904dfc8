//! Integration tests, one file per feature.

mod accepted_work;
mod addresses;
mod admission;
mod at_most_once;
mod broken_files;
mod call_harness;
mod config_spread;
mod end_to_end;
mod gateway_documents;
mod gateway_events;
mod gateway_fleet;
mod gateway_lease;
mod gateway_limits;
mod gateway_outcomes;
mod gateway_scaler;
mod gateway_serving;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod hedging;
mod leaving;
mod ledger;
mod log_outage;
mod membership;
mod mixed_releases;
mod new_endpoints;
mod operators;
mod output;
mod peer;
mod placement;
mod planned_stop;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod platform;
mod ports;
mod prefix_index;
mod refusals;
mod relay;
mod replay;
mod retry;
mod rollout_policy;
mod rollouts;
mod routing;
mod sampled_routing;
mod stalled_connections;
mod streaming;
mod untrusted_input;
mod whole_response;
