//! Test doubles of the log service, the platform and endpoints, for `dev` and for tests.
//!
//! Each implements the protocol that a node expects of the real service. `POST /faults` injects
//! faults; a request replaces all faults set before.

mod engine;
mod log;
mod plain;
mod platform;
mod prefix_cache;
mod sampling;
mod served_version;
mod starts;
mod token_text;

pub use self::engine::{Engine, EngineFaults};
pub use self::log::{Log, LogFaults, LogStats};
pub use self::plain::{Plain, PlainFaults};
pub use self::platform::{Platform, PlatformFaults};
pub use self::served_version::VersionFault;
pub use self::token_text::token_text;

use std::convert::Infallible;

use serde::Serialize;
use warp::Rejection;
use warp::http::StatusCode;
use warp::reply::{Json, WithStatus};

/// A response with a status and a JSON body.
type JsonReply = WithStatus<Json>;

/// Returns a response with this status and body; the result fits the handlers of routes.
fn reply<T>(status: StatusCode, body: &T) -> Result<JsonReply, Infallible>
where
    T: Serialize,
{
    Ok(warp::reply::with_status(warp::reply::json(body), status))
}

fn unavailable() -> Result<JsonReply, Infallible> {
    let body = serde_json::json!({ "message": "unavailable" });
    reply(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn not_found() -> Result<JsonReply, Infallible> {
    let body = serde_json::json!({ "message": "not found" });
    reply(StatusCode::NOT_FOUND, &body)
}

/// Answers requests to unknown paths with 404, and other requests that no route accepts with 400.
async fn recover(rejection: Rejection) -> Result<Result<JsonReply, Infallible>, Infallible> {
    if rejection.is_not_found() {
        return Ok(not_found());
    }
    let body = serde_json::json!({ "message": format!("{rejection:?}") });
    Ok(reply(StatusCode::BAD_REQUEST, &body))
}
