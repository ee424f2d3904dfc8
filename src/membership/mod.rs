//! What a node knows about the other nodes, and what nodes tell each other in probes.
//!
//! The state is pure: it takes the time as an argument and returns what to send. The driver in
//! `node` does the I/O through [`peer::Handle`](crate::peer::Handle).

mod message;

pub use self::message::{Demand, Header, Load, Member, Message, Notice, State};
