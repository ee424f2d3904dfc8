use std::sync::Arc;

use bytes::Bytes;

use crate::gateway::Node;

/// Bytes of each response that do not count towards the memory for large responses, so that small
/// responses are read while large ones have used it up.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// What a response takes of the node's memory for large responses, until it is dropped.
pub(super) struct BufferShare {
    node: Arc<Node>,
    counted: usize,
}

impl BufferShare {
    /// Creates the share of a response that holds nothing yet.
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            counted: 0,
        }
    }

    /// Takes what a response that holds this many bytes needs, or returns what it needs no more.
    ///
    /// # Errors
    ///
    /// Returns the reason if the memory is used up. The share stays as it was.
    pub(super) fn hold(&mut self, bytes: usize) -> Result<(), String> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        if counted > self.counted {
            let more = u32::try_from(counted - self.counted).unwrap_or(u32::MAX);
            let permit = self.node.response_buffer.try_acquire_many(more);
            let permit = permit.map_err(|_| "responses exceed the memory for them".to_owned())?;
            permit.forget();
        } else {
            let less = self.counted - counted;
            self.node.response_buffer.add_permits(less);
        }
        self.counted = counted;
        Ok(())
    }

    /// Returns the bytes of the response, with which the share is dropped.
    pub(super) fn attach(self, bytes: Bytes) -> Bytes {
        if self.counted == 0 {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.node.response_buffer.add_permits(self.counted);
    }
}

/// Bytes together with their share.
struct Held {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
