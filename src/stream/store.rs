use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use uuid::Uuid;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::{Entry, Limits, ModelRequest, Phase, Replica, Snapshot};

/// Time after which a caller that was refused because the store is full may retry.
const RETRY_AFTER: Millis = Millis(1_000);

/// The responses that a node stores, by request id.
#[derive(Debug, Default)]
pub struct Store {
    limits: Limits,
    entries: Mutex<HashMap<Uuid, Arc<Entry>>>,
    /// Memory usage at the last sweep plus the initial size of the responses inserted since.
    ///
    /// Growth between two sweeps is not included, because computing the sum over all responses for
    /// each token would be too slow.
    bytes: AtomicUsize,
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Creates the response of a new request.
    ///
    /// # Errors
    ///
    /// `Conflict` when the request id is in use, `Overloaded` when the store is full.
    pub fn create(&self, request: ModelRequest, now: Millis) -> Result<Arc<Entry>, Error> {
        let id = request.id;
        self.insert(id, Entry::new(request, now), now)
    }

    /// Stores a backup copy, or updates the copy that is already stored.
    ///
    /// # Errors
    ///
    /// `Conflict` when this node owns the response itself, `Overloaded` when the store is full.
    pub fn insert_backup(
        &self,
        snapshot: Snapshot,
        owner: Replica,
        now: Millis,
    ) -> Result<Arc<Entry>, Error> {
        let id = snapshot.request.id;
        let known = self.get(id);
        if known
            .as_ref()
            .is_some_and(|entry| matches!(entry.phase(), Phase::Moved(_)))
        {
            // The response returns to a node that had handed it over.
            self.remove(id);
        } else if let Some(entry) = known {
            return if entry.apply(&snapshot.progress, &owner, now) {
                Ok(entry)
            } else {
                Err(in_use())
            };
        }
        self.insert(id, Entry::backup(snapshot, owner, now), now)
    }

    fn insert(&self, id: Uuid, entry: Entry, now: Millis) -> Result<Arc<Entry>, Error> {
        let mut entries = self.lock();
        if entries.contains_key(&id) {
            return Err(in_use());
        }
        if self.is_full(&entries) {
            self.evict(&mut entries, now);
            if self.is_full(&entries) {
                return Err(
                    Error::not_run(ErrorKind::Overloaded, "the response store is full")
                        .with_retry_after(RETRY_AFTER),
                );
            }
        }
        self.bytes.fetch_add(entry.bytes(), Ordering::Relaxed);
        let entry = Arc::new(entry);
        entries.insert(id, Arc::clone(&entry));
        Ok(entry)
    }

    fn is_full(&self, entries: &HashMap<Uuid, Arc<Entry>>) -> bool {
        entries.len() >= self.limits.count
            || self.bytes.load(Ordering::Relaxed) >= self.limits.bytes
    }

    /// Returns a response.
    #[must_use]
    pub fn get(&self, id: Uuid) -> Option<Arc<Entry>> {
        self.lock().get(&id).cloned()
    }

    /// Drops a response.
    pub fn remove(&self, id: Uuid) {
        self.lock().remove(&id);
    }

    /// Drops finished responses whose retention period is over, and all responses whose deadline
    /// has passed by more than the retention period.
    pub fn sweep(&self, now: Millis, wall: Millis) {
        let retention = self.limits.retention_ms;
        let mut entries = self.lock();
        entries.retain(|_, entry| entry.request().deadline + retention > wall);
        self.evict(&mut entries, now);
    }

    fn evict(&self, entries: &mut HashMap<Uuid, Arc<Entry>>, now: Millis) {
        entries.retain(|_, entry| {
            entry.phase() == Phase::Running
                || entry.followers() > 0
                || now - entry.updated_at() < self.limits.retention_ms
        });
        let bytes = entries.values().map(|entry| entry.bytes()).sum();
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns all responses.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Entry>> {
        self.lock().values().cloned().collect()
    }

    /// Returns the memory usage of all requests and responses in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().values().map(|entry| entry.bytes()).sum()
    }

    /// Returns the number of responses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether the store is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Uuid, Arc<Entry>>> {
        self.entries.lock().expect("stream store lock")
    }
}

fn in_use() -> Error {
    Error::not_run(ErrorKind::Conflict, "the request id is in use")
}
