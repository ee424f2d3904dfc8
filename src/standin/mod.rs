//! Small test doubles of the platform and of endpoints, for `dev` and for tests.
//!
//! Each speaks the protocol that the node expects of the real thing, and can be told through
//! `POST /faults` to fail.

mod engine;
mod log;
mod orders;
mod plain;
mod platform;
mod prefix_cache;
mod sampling;
mod starts;
mod token_text;

pub use self::engine::{Engine, EngineFaults};
pub use self::log::{Log, LogFaults, LogStats};
pub use self::orders::VersionFault;
pub use self::plain::{Plain, PlainFaults};
pub use self::platform::{Platform, PlatformFaults};
pub use self::token_text::token_text;

use std::convert::Infallible;

use serde::Serialize;
use warp::Rejection;
use warp::http::StatusCode;
use warp::reply::{Json, WithStatus};

type Answer = WithStatus<Json>;

fn reply<T>(status: StatusCode, body: &T) -> Result<Answer, Infallible>
where
    T: Serialize,
{
    Ok(warp::reply::with_status(warp::reply::json(body), status))
}

fn unavailable() -> Result<Answer, Infallible> {
    let body = serde_json::json!({ "message": "unavailable" });
    reply(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn missing() -> Result<Answer, Infallible> {
    let body = serde_json::json!({ "message": "not found" });
    reply(StatusCode::NOT_FOUND, &body)
}

async fn recover(rejection: Rejection) -> Result<Result<Answer, Infallible>, Infallible> {
    if rejection.is_not_found() {
        return Ok(missing());
    }
    let body = serde_json::json!({ "message": format!("{rejection:?}") });
    Ok(reply(StatusCode::BAD_REQUEST, &body))
}
