//! Admission, routing and retries of a node, from the queue to the choice of an endpoint.

mod admit;
mod choose;
mod criteria;
mod dispatch;
mod dump;
mod permit;
mod reservation;
mod state;

pub(super) use self::criteria::Criteria;
pub(super) use self::dispatch::Dispatch;
pub(super) use self::dump::PolicyDump;
pub(super) use self::permit::Permit;
pub(super) use self::reservation::Reservation;
