//! The nodes of a gateway: which of them serve, and how news pass between them.
//!
//! A few nodes read the store for the others. Each other node asks one of them every round for what
//! changed since it last asked: members, endpoints, the configuration. That node also watches whether
//! the asker lives, and its claims reach all others in the same way. A node's traffic therefore grows
//! with the changes and not with the number of nodes; see docs/design.md, section 13.

mod announcement;
mod clocks;
mod gossip;
mod known_nodes;
mod member;
mod message;
mod readers;
mod roster;
mod selector;

pub use self::announcement::{Announcement, Inflight};
pub use self::clocks::Clocks;
pub use self::member::{Member, News};
pub use self::roster::Roster;
pub use self::selector::{Selector, Target, View};

pub(super) use self::gossip::{Responder, run};
pub(super) use self::known_nodes::KnownNodes;
pub(super) use self::message::{Message, decode, encode};
pub(super) use self::roster::OWNERSHIP_DELAY;
