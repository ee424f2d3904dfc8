//! Copies of accepted requests on nodes of other failure domains.
//!
//! The owner of a response places a copy before it accepts the request ([`Replication`]), and sends
//! progress in batches. The backup node takes over when the owner is gone or hands over.

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
