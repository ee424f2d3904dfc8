use std::sync::Arc;

use bytes::Bytes;

use crate::gateway::Node;
use crate::gateway::intake::{Intake, Kind, Share};

/// Bytes of each response that do not count towards the memory for responses, so that small responses
/// are read while large ones have used it up.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// What a response takes of the node's memory for responses, until it is dropped.
pub(super) struct BufferShare {
    intake: Arc<Intake>,
    share: Share,
}

impl BufferShare {
    /// Creates the share of a response that holds nothing yet.
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            intake: Arc::clone(&node.intake),
            share: node.intake.share(Kind::Responses),
        }
    }

    /// Takes what a response that holds this many bytes needs, or returns what it needs no more.
    ///
    /// # Errors
    ///
    /// Returns the reason if the memory is used up. The share stays as it was.
    pub(super) fn hold(&mut self, bytes: usize) -> Result<(), String> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        if self.intake.hold(&mut self.share, Kind::Responses, counted) {
            return Ok(());
        }
        Err("responses exceed the memory for them".to_owned())
    }

    /// Returns the bytes of the response, with which the share is dropped.
    pub(super) fn attach(self, bytes: Bytes) -> Bytes {
        self.share.attach(bytes)
    }
}
