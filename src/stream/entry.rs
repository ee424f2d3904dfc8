use std::mem::size_of;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use crate::clock::Millis;

use super::{
    Batch, Chunk, Cursor, Follower, ModelRequest, Phase, Progress, Replica, Snapshot, Source,
    Transcript,
};

/// Role of a node for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The node generates the response and serves it to callers.
    Owner,
    /// The node stores a copy of a response that another node owns.
    Backup,
}

/// A response and its progress.
#[derive(Debug)]
pub struct Entry {
    request: ModelRequest,
    state: Mutex<State>,
    progress: watch::Sender<u64>,
    followers: watch::Sender<usize>,
    released: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    transcript: Transcript,
    source: Option<Source>,
    role: Role,
    owner: Option<Replica>,
    updated_at: Millis,
}

/// Creation.
impl Entry {
    /// Creates the empty response to a request that this node owns.
    #[must_use]
    pub fn new(request: ModelRequest, now: Millis) -> Self {
        Self {
            request,
            state: Mutex::new(State {
                transcript: Transcript::default(),
                source: None,
                role: Role::Owner,
                owner: None,
                updated_at: now,
            }),
            progress: watch::Sender::new(0),
            followers: watch::Sender::new(0),
            released: watch::Sender::new(false),
        }
    }

    /// Creates a backup copy of a response that `owner` owns.
    #[must_use]
    pub fn backup(snapshot: Snapshot, owner: Replica, now: Millis) -> Self {
        let entry = Self::new(snapshot.request, now);
        let mut state = entry.lock();
        state.role = Role::Backup;
        state.owner = Some(owner);
        state.transcript.apply(&snapshot.progress);
        state.source = snapshot.progress.source;
        drop(state);
        entry
    }
}

/// Accessors.
impl Entry {
    /// Returns the request.
    #[must_use]
    pub fn request(&self) -> &ModelRequest {
        &self.request
    }

    /// Returns the role of this node.
    #[must_use]
    pub fn role(&self) -> Role {
        self.lock().role
    }

    /// Returns whether this node serves the response to callers: it owns the response and has not
    /// handed it over.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let state = self.lock();
        state.role == Role::Owner && !matches!(state.transcript.phase(), Phase::Moved(_))
    }

    /// Returns the engine stream that the response is read from.
    #[must_use]
    pub fn source(&self) -> Option<Source> {
        self.lock().source.clone()
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.lock().transcript.len()
    }

    /// Returns whether there are no chunks yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.lock().transcript.phase().clone()
    }

    /// Returns when the response was created, taken over, finished, or last updated as a copy, on
    /// the monotonic clock.
    #[must_use]
    pub fn updated_at(&self) -> Millis {
        self.lock().updated_at
    }

    /// Returns the memory usage of the request and the response in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.request.prompt.len() + self.lock().transcript.bytes()
    }

    /// Returns the texts of the chunks so far.
    #[must_use]
    pub fn texts(&self) -> Vec<Arc<str>> {
        self.lock().transcript.texts(0).map(Arc::from).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("stream state lock")
    }
}

/// Generation by the owner.
impl Entry {
    /// Begins the next attempt, which continues after the chunks so far, and returns its number.
    pub fn begin_attempt(&self) -> u32 {
        self.lock().transcript.begin_attempt()
    }

    /// Returns the number of the current attempt; 0 before the first.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.lock().transcript.attempt()
    }

    /// Sets the engine stream that the response is read from.
    pub fn set_source(&self, source: Option<Source>) {
        self.lock().source = source;
        self.notify();
    }

    /// Appends a chunk, and returns `false` if it was dropped because it belongs to another
    /// attempt, is out of order or comes after the end.
    pub fn push(&self, chunk: &Chunk) -> bool {
        let pushed = self.lock().transcript.push(chunk);
        if pushed {
            self.notify();
        }
        pushed
    }

    /// Ends the response.
    pub fn finish(&self, phase: Phase, now: Millis) {
        let mut state = self.lock();
        state.transcript.finish(phase);
        state.updated_at = now;
        drop(state);
        self.notify();
    }

    /// Sets whether the response is released to another node.
    ///
    /// `true` stops the task that generates the response, because another node continues it;
    /// `false` allows a new task, because no other node continued it.
    pub fn set_released(&self, released: bool) {
        self.released.send_replace(released);
    }

    /// Waits until the response is released with [`Entry::set_released`].
    pub async fn released(&self) {
        // The sender lives as long as the entry.
        let _ = self
            .released
            .subscribe()
            .wait_for(|released| *released)
            .await;
    }
}

/// Backup copies.
impl Entry {
    /// Applies the owner's progress; see [`Transcript::apply`]. Also returns `false` when this
    /// node owns the response itself.
    pub fn apply(&self, progress: &Progress, owner: &Replica, now: Millis) -> bool {
        let mut state = self.lock();
        if state.role == Role::Owner || !state.transcript.apply(progress) {
            return false;
        }
        state.source.clone_from(&progress.source);
        state.owner = Some(owner.clone());
        state.updated_at = now;
        drop(state);
        self.notify();
        true
    }

    /// Returns the owner of the response if this node stores a copy.
    #[must_use]
    pub fn owner(&self) -> Option<Replica> {
        self.lock().owner.clone()
    }

    /// Makes this node the owner, and returns `false` if it already is. `salt` is a random number.
    pub fn take_over(&self, salt: u16, now: Millis) -> bool {
        let mut state = self.lock();
        if state.role == Role::Owner {
            return false;
        }
        state.role = Role::Owner;
        state.owner = None;
        state.updated_at = now;
        state.transcript.take_over(salt);
        true
    }

    /// Returns the progress of the response from an offset on.
    #[must_use]
    pub fn progress_since(&self, offset: u32) -> Progress {
        let state = self.lock();
        Progress {
            id: self.request.id,
            runs: state.transcript.runs().to_vec(),
            offset,
            texts: state.transcript.texts(offset).map(String::from).collect(),
            source: state.source.clone(),
            phase: state.transcript.phase().clone(),
        }
    }

    /// Returns the whole response.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            request: self.request.clone(),
            progress: self.progress_since(0),
        }
    }
}

/// Reading by callers.
impl Entry {
    /// Returns the next part for a caller; see [`Transcript::read`].
    #[must_use]
    pub fn read(&self, cursor: Cursor) -> Batch {
        self.lock().transcript.read(cursor)
    }

    /// Returns a receiver that is notified of each chunk and of the end.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    /// Returns a version number that increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        *self.progress.borrow()
    }

    /// Registers a caller that reads the response, until the returned value is dropped.
    #[must_use]
    pub fn follow(self: &Arc<Self>) -> Follower {
        self.followers.send_modify(|count| *count += 1);
        Follower::new(Arc::clone(self))
    }

    /// Returns the number of callers that read the response.
    #[must_use]
    pub fn followers(&self) -> usize {
        *self.followers.borrow()
    }

    /// Returns a receiver of the number of callers that read the response.
    #[must_use]
    pub fn watch_followers(&self) -> watch::Receiver<usize> {
        self.followers.subscribe()
    }

    pub(super) fn unfollow(&self) {
        self.followers.send_modify(|count| *count -= 1);
    }

    fn notify(&self) {
        self.progress.send_modify(|version| *version += 1);
    }
}
