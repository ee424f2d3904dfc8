//! The gateway: forwards opaque HTTP requests and event streams to the endpoints of a platform.
//!
//! Adapters connect the gateway to a platform: [`Dialect`] interprets headers, [`Documents`] parses
//! documents, [`Store`] accesses the platform's store and [`Cloud`] its API. Decisions are made by
//! pure code in modules of their own: which endpoint gets a request ([`choose`]), how much an
//! account may request ([`Quotas`]), how often requests are retried ([`RetryBudget`]) and which
//! node performs the duties ([`Lease`]).

mod account;
mod activity;
mod budget;
pub mod capacity;
mod cloud;
pub mod cluster;
mod config;
mod departure;
mod dialect;
mod documents;
mod duties;
mod endpoint;
mod entries;
mod evacuation;
mod events;
mod fleet;
mod follower;
mod forward;
mod health;
pub mod intake;
mod lease;
mod limited_stream;
mod load;
mod node;
mod observations;
mod pace;
mod prefix_cache;
mod quarantine;
mod quota;
mod refusal;
mod registration;
mod request_metadata;
mod restore;
pub mod rollout;
mod route;
pub mod scaler;
mod server;
mod service;
mod settings;
mod state;
mod store;
mod trailing;
mod upstream;
mod usage;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

pub use self::account::{Account, Quota};
pub use self::budget::{RetryBudget, RetryLimit};
pub use self::cloud::{Cloud, Holder, Order, OrderOutcome};
pub use self::cluster::{Announcement, Inflight, Member, Roster};
pub use self::config::{Config, Limits};
pub use self::departure::Departure;
pub use self::dialect::{Dialect, ForwardMetadata, ResponseMetadata};
pub use self::documents::Documents;
pub use self::endpoint::{Endpoint, Key, Lifecycle};
pub use self::entries::{Changelog, Changes, Entry, EntryState, Position, Revision};
pub use self::evacuation::{Evacuation, Evacuations};
pub use self::events::{Event, EventSplitter};
pub use self::fleet::{Fleet, RegisterOutcome, Transition};
pub use self::forward::{Choice, Query, choose};
pub use self::health::Health;
pub use self::lease::{Committed, DutyEntry, DutyRecord, Lease, Terms, Totals};
pub use self::load::Load;
pub use self::node::{Adapters, Node};
pub use self::pace::{ColdLimit, ColdTolerance, Pacing, Place, Ramp, Turns};
pub use self::prefix_cache::PrefixCache;
pub use self::quarantine::{Crash, Evidence, Finding, Quarantine, Quarantined, Success};
pub use self::quota::{
    Ask, Consumption, Contacts, Denial, Grant, GrantReport, GrantRequest, Level, Partition, Peers,
    Profile, Quotas, Reachability, Run, Slot, Tolerance,
};
pub use self::refusal::{Reason, Refusal};
pub use self::registration::{Identity, Registration};
pub use self::request_metadata::{Prompt, RequestMetadata, Segment};
pub use self::route::{RetryPolicy, Route, Share};
pub use self::service::{Engine, Scale, Service};
pub use self::settings::Settings;
pub use self::store::{Append, Era, Page, Record, Reply, Snapshot, Store, Topic};
pub use self::upstream::{Connection, Upstream};
pub use self::usage::{Counts, Usage};

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;
