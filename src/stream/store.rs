use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use uuid::Uuid;

use super::Entry;

/// The responses that a node holds, by request id.
#[derive(Debug, Default)]
pub struct Store {
    entries: Mutex<HashMap<Uuid, Arc<Entry>>>,
}

impl Store {
    /// Creates the response of a new request; none when the id is in use.
    pub fn create(&self, id: Uuid, account: Arc<str>) -> Option<Arc<Entry>> {
        let mut entries = self.entries.lock().expect("stream store lock");
        if entries.contains_key(&id) {
            return None;
        }
        let entry = Arc::new(Entry::new(id, account));
        entries.insert(id, Arc::clone(&entry));
        Some(entry)
    }

    /// Returns a response.
    #[must_use]
    pub fn get(&self, id: Uuid) -> Option<Arc<Entry>> {
        self.entries
            .lock()
            .expect("stream store lock")
            .get(&id)
            .cloned()
    }

    /// Drops a response.
    pub fn remove(&self, id: Uuid) {
        self.entries.lock().expect("stream store lock").remove(&id);
    }

    /// Returns the number of responses held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.lock().expect("stream store lock").len()
    }

    /// Returns whether no response is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
