//! Evacuations: an operator orders that the endpoints of a failure domain get no more requests until
//! the order is removed.
//!
//! Orders are records of the operator's topic. Readers pass on what they have read with each gossip
//! exchange, so that nodes that cannot read the store learn of them as well, and nodes that start
//! learn of them together with the configuration. Whichever way a node learns of an order or its
//! removal, their revisions decide which one is the later.

mod apply;
#[allow(clippy::module_inception)]
mod evacuation;
mod evacuations;

pub use self::evacuation::Evacuation;
pub use self::evacuations::Evacuations;
