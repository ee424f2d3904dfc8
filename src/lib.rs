//! almondpath serves model and application traffic on reclaimable hosts.
//!
//! The design is described in `docs/design.md`. Decisions are pure functions of explicit state and
//! an explicit time; the code around them does the I/O.

pub mod access;
pub mod addressing;
pub mod admission;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod control;
pub mod document;
pub mod endpoint;
pub mod error;
pub mod gateway;
pub mod ledger;
pub mod log;
pub mod membership;
pub mod node;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod provider;
pub mod questionnaire;
pub mod reclaim;
pub mod replay;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod scheduler;
pub mod settings;
pub mod standin;
pub mod stream;
pub mod supervisor;
pub mod transport;
pub mod verdict;
