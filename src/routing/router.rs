use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::config::Class;

use super::candidates::Candidates;
use super::ring::Ring;
use super::totals::Totals;
use super::{
    BLOCK_TOKENS, Choice, Matches, Policy, PrefixIndex, Query, Report, Settings, View, baseline,
    expected,
};

/// Maximum number of decisions kept for the state dump.
const RECENT_DECISIONS: usize = 16;

/// Routes the requests of one node to the endpoints of one service.
#[derive(Debug)]
pub struct Router<K> {
    pub(super) settings: Settings,
    /// Endpoints; the position of each is its index.
    pub(super) views: Vec<Option<View<K>>>,
    pub(super) prefixes: PrefixIndex,
    pub(super) matches: Matches,
    pub(super) candidates: Candidates,
    pub(super) totals: Totals,
    pub(super) ring: Ring,
    /// All indices in a random order.
    pub(super) shuffled: Vec<u32>,
    pub(super) rng: SmallRng,
    /// Counter of the policy `round_robin`.
    pub(super) round_robin: usize,
    indices: HashMap<K, usize>,
    recent: VecDeque<Choice<K>>,
}

/// Construction and endpoints.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            views: Vec::new(),
            prefixes: PrefixIndex::new(settings.prefix_blocks),
            matches: Matches::default(),
            candidates: Candidates::default(),
            totals: Totals::default(),
            ring: Ring::default(),
            shuffled: Vec::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            round_robin: 0,
            indices: HashMap::new(),
            recent: VecDeque::with_capacity(RECENT_DECISIONS),
            settings,
        }
    }

    /// Adds an endpoint, or updates its price and whether it is open to new requests.
    ///
    /// `id` must be the same at all nodes and across restarts, because it determines the placement
    /// of cold prefixes.
    pub fn upsert(&mut self, key: K, id: u64, price: f64, open: bool) {
        if self.indices.contains_key(&key) {
            return self.update(key, |view| {
                view.price = price;
                view.open = open;
            });
        }
        let mut view = View::new(key, id, price, self.settings.service_ms);
        view.open = open;
        view.report.slots = self.settings.default_slots;
        let free = self.views.iter().position(Option::is_none);
        let index = free.unwrap_or(self.views.len());
        if index == self.views.len() {
            self.views.push(None);
            self.shuffled.push(index as u32);
        }
        self.totals.add(&view);
        self.ring.insert(id, index as u32);
        self.views[index] = Some(view);
        self.indices.insert(key, index);
    }

    /// Closes an endpoint to new requests.
    pub fn close(&mut self, key: K) {
        self.update(key, |view| view.open = false);
    }

    /// Removes an endpoint and its prefix entries.
    pub fn remove(&mut self, key: K) {
        if let Some(index) = self.indices.remove(&key) {
            if let Some(view) = self.views[index].take() {
                self.totals.subtract(&view);
            }
            self.ring.remove(index as u32);
            self.prefixes.clear(narrow_index(index));
        }
    }

    /// Removes the endpoints for which `keep` returns false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(K) -> bool,
    {
        let removed: Vec<K> = self.indices.keys().copied().filter(|k| !keep(*k)).collect();
        for key in removed {
            self.remove(key);
        }
    }
}

/// Observations.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Sets the load report of an endpoint.
    pub fn report(&mut self, key: K, report: Report, now: Millis) {
        let slots = self.settings.default_slots;
        self.update(key, |view| {
            view.set_report(report, now);
            if report.slots == 0 {
                view.report.slots = slots;
            }
        });
    }

    /// Sets the load report of an endpoint if it is newer than the known one.
    pub fn report_newer(&mut self, key: K, report: Report, at: Millis) {
        if self.view_mut(key).is_some_and(|view| view.reported_at < at) {
            self.report(key, report, at);
        }
    }

    /// Records that a request was dispatched to an endpoint.
    pub fn dispatched(&mut self, key: K, query: &Query<'_, K>, now: Millis) {
        let Some(&index) = self.indices.get(&key) else {
            return;
        };
        self.prefixes.insert(narrow_index(index), query.blocks, now);
        if let Some(view) = self.views[index].as_mut() {
            view.in_flight += 1;
            view.long_in_flight += u32::from(query.class == Class::Long);
            *view.pending_mut(query.class) += u64::from(query.prompt_tokens);
        }
    }

    /// Records that an endpoint has started to generate, with the prompt tokens it found cached.
    ///
    /// From now on the endpoint holds the whole prompt. If it had cached far less than `predicted`,
    /// cache events of evicted blocks were lost, and its other entries count less.
    pub fn started(
        &mut self,
        key: K,
        query: &Query<'_, K>,
        predicted: u32,
        cached: u32,
        now: Millis,
    ) {
        let Some(&index) = self.indices.get(&key) else {
            return;
        };
        if cached + BLOCK_TOKENS < predicted / 2 {
            self.prefixes.cache_events_lost(narrow_index(index), now);
        }
        self.prefixes.insert(narrow_index(index), query.blocks, now);
    }

    /// Subtracts the pending prefill of a request, at its first token or when it fails before that.
    pub fn release_prefill(&mut self, key: K, class: Class, prompt_tokens: u32) {
        if let Some(view) = self.view_mut(key) {
            let pending = view.pending_mut(class);
            *pending = pending.saturating_sub(u64::from(prompt_tokens));
        }
    }

    /// Records that a request ended; `took` is its service time if it succeeded.
    pub fn finished(&mut self, key: K, class: Class, took: Option<Millis>) {
        if let Some(view) = self.view_mut(key) {
            view.in_flight = view.in_flight.saturating_sub(1);
            let long = u32::from(class == Class::Long);
            view.long_in_flight = view.long_in_flight.saturating_sub(long);
            if let Some(took) = took {
                view.record_service_time(took);
            }
        }
    }

    /// Applies a cache event of an endpoint: blocks that it stored or evicted.
    pub fn cache_event(&mut self, key: K, blocks: &[u64], stored: bool, now: Millis) {
        if let Some(&index) = self.indices.get(&key) {
            if stored {
                self.prefixes.insert(narrow_index(index), blocks, now);
            } else {
                self.prefixes.remove(narrow_index(index), blocks);
            }
        }
    }

    /// Records that cache events of an endpoint were lost.
    pub fn cache_events_lost(&mut self, key: K, now: Millis) {
        if let Some(&index) = self.indices.get(&key) {
            self.prefixes.cache_events_lost(narrow_index(index), now);
        }
    }
}

/// Decisions.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Chooses the endpoint of a request, or returns `None` if no endpoint is eligible.
    pub fn choose(&mut self, query: &Query<'_, K>, now: Millis) -> Option<Choice<K>> {
        let depth = self.prefixes.lookup(query.blocks, &mut self.matches);
        let (expected_ms, index, scored) = match self.settings.policy {
            Policy::Expected => expected::choose(self, query, depth, now),
            policy => baseline::choose(self, policy, query, now),
        }?;
        let choice = Choice {
            key: self.views[index].as_ref()?.key,
            expected_ms,
            matched_tokens: self.matched_tokens_at(index),
            scored,
            at: now,
        };
        if self.recent.len() == RECENT_DECISIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(choice);
        Some(choice)
    }

    /// Returns how many more requests of a class the endpoints can serve without queueing.
    #[must_use]
    pub fn free_slots(&self, class: Class, now: Millis) -> u32 {
        let mean = self.totals.mean_remote_in_flight();
        let free = self.open().map(|(_, view)| {
            let outstanding = view.outstanding(mean, self.settings.load_memory, now);
            let free = (f64::from(view.report.slots) - outstanding).max(0.0);
            match class {
                Class::Interactive => free as u32,
                Class::Long => (free as u32).min(self.free_long_slots(view)),
            }
        });
        free.sum()
    }
}

/// Accessors.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Returns the number of prompt tokens that an endpoint probably has cached.
    pub fn matched_tokens(&mut self, key: K, blocks: &[u64]) -> u32 {
        self.prefixes.lookup(blocks, &mut self.matches);
        let index = self.indices.get(&key);
        index.map_or(0, |index| self.matched_tokens_at(*index))
    }

    /// Returns the most recent decisions, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Choice<K>> {
        self.recent.iter()
    }

    /// Returns the endpoints.
    pub fn views(&self) -> impl Iterator<Item = &View<K>> {
        self.views.iter().flatten()
    }

    /// Returns the number of entries of the prefix index.
    #[must_use]
    pub fn prefix_len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the number of requests that the open endpoints can serve concurrently.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.totals.slots()
    }

    /// Returns the number of requests of other nodes at all open endpoints, by the last reports.
    #[must_use]
    pub fn remote_in_flight(&self) -> f64 {
        self.totals.remote_in_flight()
    }

    /// Returns the number of this node's interactive and long requests at all endpoints.
    #[must_use]
    pub fn in_flight(&self) -> [u32; 2] {
        self.views().fold([0; 2], |[interactive, long], view| {
            [
                interactive + view.in_flight - view.long_in_flight,
                long + view.long_in_flight,
            ]
        })
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the open endpoints with their indices.
    pub(super) fn open(&self) -> impl Iterator<Item = (usize, &View<K>)> {
        let views = self.views.iter().enumerate();
        views.filter_map(|(index, view)| Some((index, view.as_ref().filter(|v| v.open)?)))
    }

    /// Returns how many more long requests of this node an endpoint may get.
    pub(super) fn free_long_slots(&self, view: &View<K>) -> u32 {
        let limit = (f64::from(view.report.slots) * self.settings.long_share).ceil() as u32;
        limit.saturating_sub(view.long_in_flight)
    }

    fn matched_tokens_at(&self, index: usize) -> u32 {
        (self.matches.blocks(index) * BLOCK_TOKENS as f32) as u32
    }

    /// Changes an endpoint and updates the totals accordingly.
    fn update<F>(&mut self, key: K, change: F)
    where
        F: FnOnce(&mut View<K>),
    {
        let index = self.indices.get(&key);
        if let Some(view) = index.and_then(|index| self.views[*index].as_mut()) {
            self.totals.subtract(view);
            change(view);
            self.totals.add(view);
        }
    }

    fn view_mut(&mut self, key: K) -> Option<&mut View<K>> {
        let index = *self.indices.get(&key)?;
        self.views[index].as_mut()
    }
}

/// Returns the index of an endpoint as the prefix index stores it.
///
/// Indices stay below the number of endpoints, at most a hundredth of what a `u16` can hold.
fn narrow_index(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}
