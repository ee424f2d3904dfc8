//! What this node knows of the endpoints' entries in the store, and how old it is.
//!
//! A node learns of an entry by its own reads and from other nodes, in any order. Each state of an
//! entry has a [`Revision`], by which a node tells a newer state from an older one.

mod apply;
mod changelog;
mod entry;
mod position;
mod revision;

pub use self::changelog::{Changelog, Changes};
pub use self::entry::{Entry, EntryState};
pub use self::position::Position;
pub use self::revision::Revision;
