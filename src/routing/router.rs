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

/// Decisions kept for the dump.
const RECENT: usize = 16;

/// Routes the requests of one node to the endpoints of one service.
#[derive(Debug)]
pub struct Router<K> {
    pub(super) settings: Settings,
    pub(super) views: Vec<Option<View<K>>>,
    pub(super) prefixes: PrefixIndex,
    pub(super) matches: Matches,
    pub(super) candidates: Candidates,
    pub(super) totals: Totals,
    pub(super) ring: Ring,
    /// All slots in a random order.
    pub(super) walk: Vec<u32>,
    pub(super) rng: SmallRng,
    pub(super) turn: usize,
    slots: HashMap<K, usize>,
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
            walk: Vec::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            turn: 0,
            slots: HashMap::new(),
            recent: VecDeque::with_capacity(RECENT),
            settings,
        }
    }

    /// Adds an endpoint or updates its price; `open` tells whether it may get new work.
    ///
    /// `id` must be the same at all nodes and on all restarts, because cold prefixes are placed
    /// by it.
    pub fn upsert(&mut self, key: K, id: u64, price: f64, open: bool) {
        if self.slots.contains_key(&key) {
            return self.update(key, |view| {
                view.price = price;
                view.open = open;
            });
        }
        let mut view = View::new(key, id, price, self.settings.service_ms);
        view.open = open;
        view.report.slots = self.settings.default_slots;
        let free = self.views.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.views.len());
        if slot == self.views.len() {
            self.views.push(None);
            self.walk.push(slot as u32);
        }
        self.totals.add(&view);
        self.ring.insert(id, slot as u32);
        self.views[slot] = Some(view);
        self.slots.insert(key, slot);
    }

    /// Gives an endpoint no new work.
    pub fn close(&mut self, key: K) {
        self.update(key, |view| view.open = false);
    }

    /// Drops an endpoint with its prefix entries.
    pub fn remove(&mut self, key: K) {
        if let Some(slot) = self.slots.remove(&key) {
            if let Some(view) = self.views[slot].take() {
                self.totals.subtract(&view);
            }
            self.ring.remove(slot as u32);
            self.prefixes.clear(narrow(slot));
        }
    }

    /// Drops the endpoints for which `keep` is false.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(K) -> bool,
    {
        let gone: Vec<K> = self.slots.keys().copied().filter(|k| !keep(*k)).collect();
        for key in gone {
            self.remove(key);
        }
    }
}

/// Observations.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Takes over a load report.
    pub fn report(&mut self, key: K, report: Report, now: Millis) {
        let slots = self.settings.default_slots;
        self.update(key, |view| {
            view.set_report(report, now);
            if report.slots == 0 {
                view.report.slots = slots;
            }
        });
    }

    /// As [`Router::report`], unless the report is the known one or an older one.
    pub fn report_newer(&mut self, key: K, report: Report, at: Millis) {
        if self.view_mut(key).is_some_and(|view| view.reported_at < at) {
            self.report(key, report, at);
        }
    }

    /// Records that a request was dispatched to an endpoint.
    pub fn dispatched(&mut self, key: K, query: &Query<'_, K>, now: Millis) {
        let Some(&slot) = self.slots.get(&key) else {
            return;
        };
        self.prefixes.insert(narrow(slot), query.blocks, now);
        if let Some(view) = self.views[slot].as_mut() {
            view.in_flight += 1;
            view.long_in_flight += u32::from(query.class == Class::Long);
            *view.pending(query.class) += u64::from(query.prompt_tokens);
        }
    }

    /// Records that a request has begun to be generated, with the prompt tokens found cached.
    ///
    /// The endpoint holds the whole prompt from now on. When it had far less than `predicted`, it
    /// has evicted blocks without an event that arrived, and its other entries count less.
    pub fn started(
        &mut self,
        key: K,
        query: &Query<'_, K>,
        predicted: u32,
        cached: u32,
        now: Millis,
    ) {
        let Some(&slot) = self.slots.get(&key) else {
            return;
        };
        if cached + BLOCK_TOKENS < predicted / 2 {
            self.prefixes.cache_events_lost(narrow(slot), now);
        }
        self.prefixes.insert(narrow(slot), query.blocks, now);
    }

    /// Takes back the pending prefill of a request, at its first token or when it fails before.
    pub fn release_prefill(&mut self, key: K, class: Class, prompt_tokens: u32) {
        if let Some(view) = self.view_mut(key) {
            let pending = view.pending(class);
            *pending = pending.saturating_sub(u64::from(prompt_tokens));
        }
    }

    /// Records that a request ended; `took` is its time when it succeeded.
    pub fn finished(&mut self, key: K, class: Class, took: Option<Millis>) {
        if let Some(view) = self.view_mut(key) {
            view.in_flight = view.in_flight.saturating_sub(1);
            let long = u32::from(class == Class::Long);
            view.long_in_flight = view.long_in_flight.saturating_sub(long);
            if let Some(took) = took {
                view.sample(took);
            }
        }
    }

    /// Applies a cache event of an endpoint: blocks stored or evicted.
    pub fn cache_event(&mut self, key: K, blocks: &[u64], stored: bool, now: Millis) {
        if let Some(&slot) = self.slots.get(&key) {
            if stored {
                self.prefixes.insert(narrow(slot), blocks, now);
            } else {
                self.prefixes.remove(narrow(slot), blocks);
            }
        }
    }

    /// Records that cache events of an endpoint were lost.
    pub fn cache_events_lost(&mut self, key: K, now: Millis) {
        if let Some(&slot) = self.slots.get(&key) {
            self.prefixes.cache_events_lost(narrow(slot), now);
        }
    }
}

/// Decisions.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Chooses the endpoint of a request; none when no endpoint is open.
    pub fn choose(&mut self, query: &Query<'_, K>, now: Millis) -> Option<Choice<K>> {
        let depth = self.prefixes.lookup(query.blocks, &mut self.matches);
        let (expected_ms, slot, scored) = match self.settings.policy {
            Policy::Expected => expected::choose(self, query, depth, now),
            policy => baseline::choose(self, policy, query, now),
        }?;
        let choice = Choice {
            key: self.views[slot].as_ref()?.key,
            expected_ms,
            matched_tokens: self.matched_at(slot),
            scored,
            at: now,
        };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(choice);
        Some(choice)
    }

    /// Returns how many more requests of a class the endpoints can serve without a queue.
    #[must_use]
    pub fn free_slots(&self, class: Class, now: Millis) -> u32 {
        let mean = self.totals.mean_remote_in_flight();
        let rooms = self.open().map(|(_, view)| {
            let out = view.outstanding(mean, self.settings.load_memory, now);
            let free = (f64::from(view.report.slots) - out).max(0.0);
            match class {
                Class::Interactive => free as u32,
                Class::Long => (free as u32).min(self.free_long_slots(view)),
            }
        });
        rooms.sum()
    }
}

/// State for decisions and the dump.
impl<K> Router<K>
where
    K: Copy + Eq + Hash,
{
    /// Returns the prompt tokens that an endpoint probably holds.
    pub fn matched_tokens(&mut self, key: K, blocks: &[u64]) -> u32 {
        self.prefixes.lookup(blocks, &mut self.matches);
        let slot = self.slots.get(&key);
        slot.map_or(0, |slot| self.matched_at(*slot))
    }

    /// Returns the last decisions, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Choice<K>> {
        self.recent.iter()
    }

    /// Returns the endpoints.
    pub fn views(&self) -> impl Iterator<Item = &View<K>> {
        self.views.iter().flatten()
    }

    /// Returns the number of prefix entries.
    #[must_use]
    pub fn prefix_len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the requests that the open endpoints can serve at the same time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.totals.slots()
    }

    /// Returns the requests of other nodes at all open endpoints, by the last reports.
    #[must_use]
    pub fn remote_in_flight(&self) -> f64 {
        self.totals.remote_in_flight()
    }

    /// Returns this node's requests at all endpoints, interactive and long.
    #[must_use]
    pub fn in_flight(&self) -> [u32; 2] {
        self.views().fold([0; 2], |[interactive, long], view| {
            [
                interactive + view.in_flight - view.long_in_flight,
                long + view.long_in_flight,
            ]
        })
    }

    /// Returns the constants.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn open(&self) -> impl Iterator<Item = (usize, &View<K>)> {
        let views = self.views.iter().enumerate();
        views.filter_map(|(slot, view)| Some((slot, view.as_ref().filter(|v| v.open)?)))
    }

    /// Returns how many more long requests of this node an endpoint takes.
    pub(super) fn free_long_slots(&self, view: &View<K>) -> u32 {
        let limit = (f64::from(view.report.slots) * self.settings.long_share).ceil() as u32;
        limit.saturating_sub(view.long_in_flight)
    }

    fn matched_at(&self, slot: usize) -> u32 {
        (self.matches.blocks(slot) * BLOCK_TOKENS as f32) as u32
    }

    /// Changes what the totals depend on.
    fn update<F>(&mut self, key: K, change: F)
    where
        F: FnOnce(&mut View<K>),
    {
        let slot = self.slots.get(&key);
        if let Some(view) = slot.and_then(|slot| self.views[*slot].as_mut()) {
            self.totals.subtract(view);
            change(view);
            self.totals.add(view);
        }
    }

    fn view_mut(&mut self, key: K) -> Option<&mut View<K>> {
        let slot = *self.slots.get(&key)?;
        self.views[slot].as_mut()
    }
}

/// Slots are numbered up to the number of endpoints, which a `u16` holds a hundred times over.
fn narrow(slot: usize) -> u16 {
    u16::try_from(slot).unwrap_or(u16::MAX)
}
