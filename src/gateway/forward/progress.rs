use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::clock::Millis;

/// What the node has received of a stream, from all of its endpoints.
pub(super) struct Progress {
    /// Events and comments that wait to be sent to the caller.
    pending: VecDeque<Bytes>,
    /// Id of the last event received.
    pub(super) last_event: Option<u64>,
    /// When it arrived, or the stream began.
    pub(super) last_event_at: Millis,
}

impl Progress {
    /// Starts a stream whose caller has the events up to `last_event`.
    pub(super) fn start(last_event: Option<u64>, now: Millis) -> Self {
        Self {
            pending: VecDeque::new(),
            last_event,
            last_event_at: now,
        }
    }

    /// Adds a comment.
    pub(super) fn add_comment(&mut self, bytes: Bytes) {
        self.pending.push_back(bytes);
    }

    /// Adds an event.
    ///
    /// # Errors
    ///
    /// Returns the reason if the event is not the next one.
    pub(super) fn add_event(&mut self, id: u64, bytes: Bytes, now: Millis) -> Result<(), String> {
        if let Some(last) = self.last_event {
            if id <= last {
                return Err(format!("event {id} repeated or out of order after {last}"));
            }
            if id > last + 1 {
                return Err(format!("events missing between {last} and {id}"));
            }
        }
        self.last_event = Some(id);
        self.last_event_at = now;
        self.pending.push_back(bytes);
        Ok(())
    }

    /// Takes all that waits to be sent to the caller; `None` if there is nothing.
    pub(super) fn take_pending(&mut self) -> Option<Bytes> {
        let first = self.pending.pop_front()?;
        if self.pending.is_empty() {
            return Some(first);
        }
        let mut bytes = BytesMut::from(&first[..]);
        for event in self.pending.drain(..) {
            bytes.extend_from_slice(&event);
        }
        Some(bytes.freeze())
    }
}
