use std::fmt;

use crate::clock::Millis;

/// `Retry-After` when no endpoint accepts requests.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(400);

/// `Retry-After` when an operator has evacuated all endpoints, which is taken back by hand.
const EVACUATED_RETRY_AFTER: Millis = Millis(2_000);

/// `Retry-After` of a request that may crash endpoints: by then it is known whether it does.
const SUSPECT_RETRY_AFTER: Millis = Millis(2_000);

/// Margin that is added to the time by which a response would be too late.
const LATE_MARGIN: Millis = Millis(100);

/// What rules out a further attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Obstacle {
    /// Too little time is left for a response.
    Deadline,
    /// The request was sent to as many endpoints as its route allows.
    Attempts,
    /// The node shuts down; the caller may retry after this time.
    Leaving(Millis),
    /// A segment of the prompt is quarantined for this time.
    Quarantine(Millis),
    /// The request broke off, as did another one with the same segment of the prompt.
    Suspect,
    /// No endpoint accepts requests; one may after this time, if it is known.
    NoEndpoint(Option<Millis>),
    /// All endpoints are in evacuated failure domains.
    Evacuated,
    /// The first event is expected after the first time, of which the second one is too much.
    Late(Millis, Millis),
    /// The service's retries are spent.
    Budget,
}

impl Obstacle {
    /// Returns whether the request may wait for the obstacle to pass.
    pub(super) fn is_passing(self) -> bool {
        match self {
            Self::NoEndpoint(_) | Self::Evacuated | Self::Late(..) | Self::Budget => true,
            Self::Deadline
            | Self::Attempts
            | Self::Leaving(_)
            | Self::Quarantine(_)
            | Self::Suspect => false,
        }
    }

    /// Returns whether the failure of the last attempt says more than the obstacle.
    pub(super) fn follows_from_attempts(self) -> bool {
        matches!(self, Self::Deadline | Self::Attempts)
    }

    /// Returns whether the service has no endpoint that may get requests.
    pub(super) fn is_without_endpoint(self) -> bool {
        matches!(self, Self::NoEndpoint(None) | Self::Evacuated)
    }

    /// Returns the time after which the caller may retry, if there is one.
    pub(super) fn retry_after(self) -> Option<Millis> {
        match self {
            Self::Deadline | Self::Attempts | Self::Budget => None,
            Self::Leaving(delay) | Self::Quarantine(delay) => Some(delay),
            Self::Suspect => Some(SUSPECT_RETRY_AFTER),
            Self::NoEndpoint(delay) => Some(delay.unwrap_or(NO_ENDPOINT_RETRY_AFTER)),
            Self::Evacuated => Some(EVACUATED_RETRY_AFTER),
            Self::Late(_, excess) => Some(excess + LATE_MARGIN),
        }
    }
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deadline => f.write_str("too little time is left"),
            Self::Attempts => f.write_str("the attempts are used up"),
            Self::Leaving(_) => f.write_str("the node shuts down"),
            Self::Quarantine(_) => f.write_str("a prompt segment is quarantined"),
            Self::Suspect => f.write_str(
                "the request broke off, as did another one with the same prompt segment",
            ),
            Self::NoEndpoint(_) => f.write_str("no endpoint accepts requests"),
            Self::Evacuated => f.write_str("all endpoints are in evacuated failure domains"),
            Self::Late(expected, _) => write!(f, "first event expected after {expected}"),
            Self::Budget => f.write_str("retry budget exhausted"),
        }
    }
}
