//! Gossip-based cluster membership and failure detection, similar to SWIM.
//!
//! The state machine is pure: it takes the time as an argument and returns the messages to send.
//! The driver in `node` does the I/O through [`peer::Handle`](crate::peer::Handle).
//!
//! Each node probes three others per second. Probes and their responses carry membership records,
//! notices of endpoints that are leaving, and load reports. An urgent update is also sent
//! immediately to one relay in each failure domain.

mod bounded_set;
mod bucket;
mod message;
mod outbox;
mod peer;
mod queue;
mod rates;
mod roster;
mod schedule;
mod view;

pub use self::message::{Demand, Header, Load, Member, Message, Notice, State, short_hash};
pub use self::peer::Peer;
pub use self::rates::Rates;
pub use self::schedule::Target;
pub use self::view::{Received, TICK_INTERVAL, View};
