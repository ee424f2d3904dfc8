use tokio::time::sleep;

use crate::clock::Millis;

use super::call::Call;
use super::dispatch::{Delivered, try_reserve};
use super::reservation::Reservation;

/// Interval at which a request whose endpoint is silent looks for another one; short against the two
/// seconds after which callers abandon a silent stream.
const LOOK_INTERVAL: Millis = Millis(100);

/// Another endpoint for a request whose endpoint is silent.
pub(super) struct Replacement {
    /// Why the request moves.
    pub(super) reason: String,
    pub(super) reservation: Box<Reservation>,
}

/// Waits until the endpoint of a request is silent and another one may take the request.
///
/// Without another endpoint, the request stays where it is: its endpoint may still be at work.
/// `due` is when data is due from the endpoint, whatever else it sends.
pub(super) async fn replacement(
    call: &Call,
    current: &mut Reservation,
    due: Millis,
    delivered: Delivered,
) -> Replacement {
    loop {
        sleep((current.next_look - call.node.clock.now()).into()).await;
        let reason = current.until_silent(due).await;
        let is_new = current.record_silence();
        let unavailable = match try_reserve(call, delivered) {
            Ok(reservation) => {
                return Replacement {
                    reason,
                    reservation: Box::new(reservation),
                };
            }
            Err(unavailable) => unavailable,
        };
        if is_new {
            slog::info!(call.node.log, "silent endpoint kept"; "id" => call.id(),
                "endpoint" => &*current.endpoint, "why" => reason,
                "no_other" => unavailable.reason());
        }
        current.next_look = call.node.clock.now() + LOOK_INTERVAL;
    }
}
