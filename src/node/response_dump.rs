use std::sync::Arc;

use serde::Serialize;
use uuid::Uuid;

use crate::stream::{Phase, Role};

use super::Node;

/// Maximum number of responses in a dump.
const MAX_RESPONSES: usize = 256;

/// A response in the dump.
#[derive(Debug, Serialize)]
pub(super) struct ResponseDump {
    id: Uuid,
    account: Arc<str>,
    role: Role,
    owner: Option<Arc<str>>,
    backup: Option<Arc<str>>,
    phase: Phase,
    attempt: u32,
    tokens: u32,
    bytes: usize,
}

/// Returns the responses that a node stores, up to [`MAX_RESPONSES`].
pub(super) fn response_dumps(node: &Node) -> Vec<ResponseDump> {
    let mut all = node.streams.all();
    all.truncate(MAX_RESPONSES);
    all.iter()
        .map(|entry| ResponseDump {
            id: entry.request().id,
            account: Arc::clone(&entry.request().account),
            role: entry.role(),
            owner: entry.owner().map(|owner| owner.name),
            backup: node.replication.backup(entry.request().id).map(|b| b.name),
            phase: entry.phase(),
            attempt: entry.attempt(),
            tokens: entry.len(),
            bytes: entry.bytes(),
        })
        .collect()
}
