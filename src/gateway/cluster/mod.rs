//! The nodes of a gateway: which of them are alive, and how they exchange their state.
//!
//! A few nodes, the readers, read the store on behalf of the others. In each gossip round, every
//! other node requests from one reader the changes since its previous request: members, endpoints
//! and the configuration. That reader also watches whether the requester is alive, and its claims
//! reach all other nodes in the same way. The traffic of a node therefore grows with the number of
//! changes and not with the number of nodes; see docs/design.md, section 13.

mod announcement;
mod clocks;
mod gossip;
mod isolation;
mod known_nodes;
mod liveness;
mod member;
mod merge;
mod message;
mod peer_view;
mod phase;
mod readers;
mod responder;
mod roster;
mod rounds;
mod selector;
mod speeds;

pub use self::announcement::{Announcement, Inflight};
pub use self::clocks::Clocks;
pub use self::member::{Member, MemberUpdate};
pub use self::phase::Phase;
pub use self::roster::Roster;
pub use self::selector::{Selector, Target, View};

pub(super) use self::gossip::run;
pub(super) use self::known_nodes::KnownNodes;
pub(super) use self::message::{Message, decode, encode};
pub(super) use self::phase::OWNERSHIP_DELAY;
pub(super) use self::responder::Responder;
pub(super) use self::rounds::answer_time;
