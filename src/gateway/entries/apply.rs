use slog::{info, warn};

use crate::clock::Millis;
use crate::gateway::fleet::{RegisterOutcome, Transition};
use crate::gateway::{Node, Registration};

use super::{Entry, EntryState};

impl Node {
    /// Applies an entry of an endpoint that this node read (`source` is `record` or `list`) or another
    /// node passed on. If the entry is missing, the store was unavailable until `outage_end`.
    ///
    /// An entry that is older than the known one has no effect.
    pub(in crate::gateway) fn apply_entry(
        &self,
        id: &str,
        entry: Entry,
        outage_end: Millis,
        source: &str,
    ) {
        if !self.is_news(id, &entry, source) {
            return;
        }
        let now = self.clock.now();
        // An endpoint that leaves does not register again, so that its entry was removed.
        let state = match entry.state {
            EntryState::Missing if self.state().fleet.is_leaving(id) => EntryState::Removed,
            state => state,
        };
        let entry = Entry { state, ..entry };
        match &entry.state {
            EntryState::Present(document) => {
                let Some(registration) = self.registration(id, document) else {
                    return;
                };
                self.apply_registration(id, registration, entry, source);
            }
            EntryState::Removed => {
                let transition = {
                    let state = &mut *self.state();
                    state.changelog.record(id, entry, now);
                    state.fleet.remove(id, now)
                };
                self.log_transition(transition, source);
            }
            EntryState::Missing => {
                let state = &mut *self.state();
                let is_new = state.fleet.mark_missing(id, outage_end);
                // Other nodes may know an endpoint that this one does not.
                if is_new || state.changelog.is_present(id) != Some(false) {
                    state.changelog.record(id, entry, now);
                }
            }
        }
    }

    /// Returns whether an entry is news to this node; logs one that contradicts what is known.
    fn is_news(&self, id: &str, entry: &Entry, source: &str) -> bool {
        let state = self.state();
        let position = &state.endpoints_position;
        if state.changelog.is_news(id, entry, position) {
            return true;
        }
        let is_present = entry.state.is_present();
        if state.changelog.is_present(id).unwrap_or(false) != is_present {
            info!(self.log, "endpoint entry superseded"; "endpoint" => id, "present" => is_present,
                "era" => entry.revision.era.0, "next" => entry.revision.next,
                "position" => position.next, "source" => source);
        }
        false
    }

    /// Parses an entry; none if it describes no endpoint.
    fn registration(&self, id: &str, document: &[u8]) -> Option<Registration> {
        let parsed = self.documents.registration(id, document);
        parsed
            .inspect_err(|error| {
                warn!(self.log, "invalid endpoint registration"; "endpoint" => id,
                    "reason" => %error);
            })
            .ok()
    }

    fn apply_registration(&self, id: &str, registration: Registration, entry: Entry, source: &str) {
        let active = self.active.load();
        let memory = active
            .as_ref()
            .and_then(|active| active.config.service(&registration.service)?.engine)
            .map_or(0, |engine| engine.memory_tokens);
        let now = self.clock.now();
        let cold = registration.cold;
        let transition = {
            let state = &mut *self.state();
            if state.changelog.is_removed_before(id, entry.revision.era) {
                // What the endpoint writes after the restore brings it back.
                let removed = Entry {
                    state: EntryState::Removed,
                    ..entry
                };
                state.changelog.record(id, removed, now);
                state.fleet.note_outdated(&registration);
                return;
            }
            match state.fleet.register(registration, memory, now) {
                RegisterOutcome::Superseded => None,
                RegisterOutcome::Confirmed => {
                    state.changelog.confirm(id, entry, now);
                    None
                }
                RegisterOutcome::Changed(transition) => {
                    state.changelog.record(id, entry, now);
                    self.log_cold(id, cold, source);
                    transition
                }
            }
        };
        self.log_transition(transition, source);
    }

    /// Logs for how long an endpoint is slow, if it is.
    fn log_cold(&self, id: &str, cold: Millis, source: &str) {
        if cold > Millis::ZERO {
            info!(self.log, "endpoint cold"; "endpoint" => id, "ms" => cold.0, "source" => source);
            metrics::counter!("almondpath_cold_endpoints_total").increment(1);
        }
    }

    pub(in crate::gateway) fn log_transition(&self, transition: Option<Transition>, source: &str) {
        if let Some(transition) = transition {
            info!(self.log, "endpoint"; "endpoint" => &*transition.identity.id,
                "born" => transition.identity.born, "service" => &*transition.service,
                "version" => &*transition.version, "standing" => ?transition.lifecycle,
                "source" => source);
        }
    }
}
