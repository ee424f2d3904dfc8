//! What a node knows about the other nodes, and what nodes tell each other in probes.
//!
//! The state is pure: it takes the time as an argument and returns what to send. The driver in
//! `node` does the I/O through [`peer::Handle`](crate::peer::Handle).
//!
//! Each node probes three others a second. Probes and their answers carry statements about nodes,
//! notices about endpoints that are leaving, and load reports. An urgent update is also passed on
//! at once, to one relay in each failure domain.

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
pub use self::view::{Received, TICK, View};
