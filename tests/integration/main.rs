//! Integration tests, one file per feature.

mod accepted_work;
mod addresses;
mod admission;
mod at_most_once;
mod broken_files;
mod call_harness;
mod config_spread;
mod end_to_end;
mod gateway_balancing;
mod gateway_capacity;
mod gateway_cluster;
mod gateway_departures;
mod gateway_documents;
mod gateway_entries;
mod gateway_evacuation;
mod gateway_events;
mod gateway_fleet;
mod gateway_fuzzing;
mod gateway_handover;
mod gateway_intake;
mod gateway_lease;
mod gateway_limits;
mod gateway_malformed;
mod gateway_memory;
mod gateway_odd_entries;
mod gateway_outcomes;
mod gateway_pace;
mod gateway_quarantine;
mod gateway_quota_contacts;
mod gateway_quota_contention;
mod gateway_quota_kinds;
mod gateway_ramp;
mod gateway_responses;
mod gateway_restore;
mod gateway_rollout_faults;
mod gateway_rollouts;
mod gateway_scaler;
mod gateway_serving;
mod gateway_shutdown;
mod gateway_store;
mod gateway_streams;
mod gateway_upstream;
mod gateway_usage;
#[allow(dead_code, reason = "not every feature uses every helper")]
mod harness;
mod hedging;
mod leaving;
mod ledger;
mod log_outage;
mod malformed_responses;
mod membership;
mod mixed_releases;
mod new_endpoints;
mod operators;
mod output;
mod peer;
mod placement;
mod planned_stop;
#[allow(
    dead_code,
    unused_imports,
    reason = "not every feature uses every helper"
)]
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
