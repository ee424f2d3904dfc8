use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Phase of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// More chunks may follow.
    Running,
    /// The response is complete.
    Done,
    /// The response failed.
    Failed(Error),
    /// Another node continues the response, which callers can read at these addresses.
    Moved(Vec<SocketAddr>),
}
