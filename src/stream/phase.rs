use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Where a response is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// More chunks will come.
    Running,
    /// The response is complete.
    Done,
    /// The response failed.
    Failed(Error),
    /// Another node continues the response; callers find it at these addresses.
    Moved(Vec<SocketAddr>),
}
