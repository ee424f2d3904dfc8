use slog::warn;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::{Era, Node, Reply, Topic};

/// What a node knows of the restores of the store.
#[derive(Debug, Default)]
pub(super) struct Restores {
    /// Latest era that is known; none until the store has responded.
    era: Option<Era>,
    /// Steady time at which the latest restore was noticed.
    noticed_at: Option<Millis>,
}

impl Restores {
    /// Returns the latest era that is known.
    pub(super) fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns whether the store has responded.
    fn is_known(&self) -> bool {
        self.era.is_some()
    }

    /// Returns when the latest restore was noticed.
    pub(super) fn noticed_at(&self) -> Option<Millis> {
        self.noticed_at
    }

    /// Notes an era; returns the one before if the store has been restored.
    fn note(&mut self, era: Era, now: Millis) -> Option<Era> {
        let before = self.era;
        self.era = before.max(Some(era));
        let before = before.filter(|known| *known < era)?;
        self.noticed_at = Some(now);
        Some(before)
    }
}

impl Node {
    /// Returns the content of a response of the store, and notes its era.
    ///
    /// # Errors
    ///
    /// Fails if the store is known to have been restored since: what it said no longer holds, and
    /// what it stored is lost.
    pub(super) fn accept<T>(&self, topic: Topic, reply: Reply<T>) -> Result<T, Error> {
        self.note_era(reply.era, topic);
        if reply.era < self.state().restores.era() {
            return Err(Error::may_have_run(
                ErrorKind::Unavailable,
                "the store was restored after this response",
            ));
        }
        Ok(reply.content)
    }

    /// Notes the era in which the store responded to a call on a topic.
    pub(super) fn note_era(&self, era: Era, topic: Topic) {
        let now = self.clock.now();
        let wall = self.wall_time();
        let state = &mut *self.state();
        if !state.restores.is_known() {
            state.lease.begin(era, self.clock.since_boot());
        }
        let Some(before) = state.restores.note(era, now) else {
            return;
        };
        warn!(self.log, "the store was restored"; "era" => era.0, "before" => before.0,
            "topic" => ?topic, "position" => state.next_in(topic));
        state.rollouts.forget_recorded();
        state.lease.restart(era, self.clock.since_boot(), wall);
    }
}
