//! Backup copies of responses on nodes in other failure domains.
//!
//! The owner of a response stores a copy on a backup node before it accepts the request
//! ([`Replication`]), and then sends the generated tokens in batches. The backup node takes over
//! the response when the owner no longer responds or hands it over.

mod copies;
mod handover;
mod message;
mod nodes;
mod replication;
mod resume;

pub(super) use self::copies::{
    Owners, on_append, on_find, on_handover, on_hold, on_progress, watch_owners,
};
pub(super) use self::replication::{Replication, send_progress};
pub(super) use self::resume::resume;
