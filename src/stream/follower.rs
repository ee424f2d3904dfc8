use std::ops::Deref;
use std::sync::Arc;

use super::Entry;

/// A caller that reads a response, counted until it is dropped.
#[derive(Debug)]
pub struct Follower {
    entry: Arc<Entry>,
}

impl Follower {
    pub(super) fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }
}

impl Deref for Follower {
    type Target = Arc<Entry>;

    fn deref(&self) -> &Self::Target {
        &self.entry
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.entry.unfollow();
    }
}
