use tokio::time::sleep;

use crate::clock::Millis;

use super::call::Call;
use super::dispatch::try_reserve;
use super::obstacle::Obstacle;
use super::reservation::Reservation;

/// Interval at which a request whose endpoint is silent looks for another one; short against the two
/// seconds after which callers abandon a silent stream.
pub(super) const LOOK_INTERVAL: Millis = Millis(100);

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
) -> Replacement {
    loop {
        sleep((current.next_look - call.node.clock.now()).into()).await;
        let reason = current.until_silent(due).await;
        let is_new = current.record_silence();
        let obstacle = match try_reserve(call) {
            Ok(reservation) => {
                return Replacement {
                    reason,
                    reservation: Box::new(reservation),
                };
            }
            Err(obstacle) => obstacle,
        };
        if is_new {
            slog::info!(call.node.log, "silent endpoint kept"; "id" => call.id(),
                "endpoint" => &*current.endpoint, "why" => reason,
                "no_other" => %obstacle);
        }
        current.next_look = call.node.clock.now() + LOOK_INTERVAL;
    }
}

/// Waits until another endpoint may take the rest of a stream whose own broke off.
///
/// # Errors
///
/// Returns what rules out any further attempt.
pub(super) async fn until_reserved(call: &Call) -> Result<Reservation, Obstacle> {
    let mut is_waiting = false;
    loop {
        let obstacle = match try_reserve(call) {
            Ok(reservation) => return Ok(reservation),
            Err(obstacle) => obstacle,
        };
        if !obstacle.is_passing() {
            return Err(obstacle);
        }
        if !std::mem::replace(&mut is_waiting, true) {
            slog::info!(call.node.log, "stream waits"; "id" => call.id(), "why" => %obstacle);
        }
        sleep(LOOK_INTERVAL.into()).await;
    }
}
