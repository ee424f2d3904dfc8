//! The gateway: forwards opaque HTTP requests and event streams to the endpoints of a platform.
//!
//! What a head means, how the platform's store is spoken to and where settings come from is told by
//! an adapter through [`Dialect`], [`Documents`], [`Store`] and [`Cloud`]. Decisions are pure
//! live in their own modules: where a request goes ([`choose`]), what an account may ask for
//! ([`Quotas`]), how often requests are sent again ([`Budget`]) and who performs duties ([`Lease`]).

mod account;
mod ask;
mod budget;
mod changelog;
mod cloud;
pub mod cluster;
mod config;
mod dialect;
mod documents;
mod duties;
mod endpoint;
mod events;
mod fleet;
mod follower;
mod forward;
mod health;
mod lease;
mod load;
mod node;
mod prefixes;
mod quota;
mod refusal;
mod registration;
mod route;
pub mod scaler;
mod server;
mod service;
mod settings;
mod store;
mod upstream;
mod usage;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

pub use self::account::{Account, Quota};
pub use self::ask::{Ask, Part, Prompt};
pub use self::budget::{Budget, Ratio};
pub use self::changelog::{Changelog, EntryState, Position};
pub use self::cloud::{Cloud, Holder, Order, OrderOutcome};
pub use self::cluster::{Announcement, Inflight, Member, Roster};
pub use self::config::{Config, Limits};
pub use self::dialect::{Dialect, Onward, Reply};
pub use self::documents::Documents;
pub use self::endpoint::{Endpoint, Key, Lifecycle};
pub use self::events::{Event, Events};
pub use self::fleet::{Change, Fleet, Update};
pub use self::forward::{Choice, Query, choose};
pub use self::health::Health;
pub use self::lease::{DutyRecord, Lease, Terms, Totals};
pub use self::load::Load;
pub use self::node::{Adapters, Node};
pub use self::prefixes::Prefixes;
pub use self::quota::{Denial, Granted, Quotas, Silence, Tolerance};
pub use self::refusal::{Reason, Refusal};
pub use self::registration::{Identity, Registration};
pub use self::route::{Repeat, Route, Share};
pub use self::service::{Engine, Scale, Service};
pub use self::settings::Settings;
pub use self::store::{Append, Page, Record, Snapshot, Store, Topic};
pub use self::upstream::{Line, Upstream};
pub use self::usage::{Counts, Usage};

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;
