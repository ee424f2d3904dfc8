use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::clock::Millis;
use crate::config::Class;

use super::{BLOCK_TOKENS, Policy, Prefix, Report, View, baseline, choice};

/// Decisions kept for the dump.
const RECENT: usize = 16;

/// Constants of a [`Router`].
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Seed of the generator.
    pub seed: u64,
    /// Prefix blocks remembered per endpoint; 1,024 are 65,536 tokens.
    pub prefix_blocks: usize,
    /// Time after which a load report counts half.
    pub load_memory: Millis,
    /// Prefill time of a token in milliseconds, until engines are measured.
    pub prefill_ms: f64,
    /// Time of a request in milliseconds, until requests are measured.
    pub service_ms: f64,
    /// Slots of an endpoint that has not reported yet.
    pub default_slots: u32,
    /// Share of an endpoint's slots open to long work.
    pub long_share: f64,
    /// Milliseconds that an endpoint of twice the mean price counts as slower.
    pub price_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Expected,
            seed: 0,
            prefix_blocks: 1_024,
            load_memory: Millis(2_000),
            prefill_ms: 0.05,
            service_ms: 1_000.0,
            default_slots: 16,
            long_share: 0.5,
            price_ms: 20.0,
        }
    }
}

/// What a router has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a, K> {
    /// Hashes of the prompt's blocks, see [`blocks`](super::blocks); empty for plain services.
    pub blocks: &'a [u64],
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Scheduling class.
    pub class: Class,
    /// Endpoints that earlier attempts failed at.
    pub exclude: &'a [K],
}

/// The outcome of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Choice<K> {
    /// The endpoint.
    pub key: K,
    /// Expected time to first token in milliseconds, with the price term.
    pub expected_ms: f64,
    /// Prompt tokens probably cached there.
    pub matched_tokens: u32,
    /// When it was decided.
    pub at: Millis,
}

/// Routes the requests of one node to the endpoints of one service.
#[derive(Debug)]
pub struct Router<K> {
    pub(super) settings: Settings,
    pub(super) views: Vec<Option<View<K>>>,
    pub(super) prefix: Prefix,
    pub(super) matched: Vec<f32>,
    pub(super) scores: Vec<(f64, usize)>,
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
            prefix: Prefix::new(settings.prefix_blocks),
            matched: Vec::new(),
            scores: Vec::new(),
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
        if let Some(view) = self.view_mut(key) {
            view.price = price;
            view.open = open;
            return;
        }
        let mut view = View::new(key, id, price, self.settings.service_ms);
        view.open = open;
        view.report.slots = self.settings.default_slots;
        let free = self.views.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.views.len());
        if slot == self.views.len() {
            self.views.push(None);
            self.matched.push(0.0);
        }
        self.views[slot] = Some(view);
        self.slots.insert(key, slot);
    }

    /// Gives an endpoint no new work.
    pub fn close(&mut self, key: K) {
        if let Some(view) = self.view_mut(key) {
            view.open = false;
        }
    }

    /// Drops an endpoint with its prefix entries.
    pub fn remove(&mut self, key: K) {
        if let Some(slot) = self.slots.remove(&key) {
            self.views[slot] = None;
            self.prefix.clear(narrow(slot));
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
        if let Some(view) = self.view_mut(key) {
            view.set_report(report, now);
            if report.slots == 0 {
                view.report.slots = slots;
            }
        }
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
        self.prefix.insert(narrow(slot), query.blocks, now);
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
    pub fn confirmed(
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
            self.prefix.gap(narrow(slot), now);
        }
        self.prefix.insert(narrow(slot), query.blocks, now);
    }

    /// Takes back the pending prefill of a request, at its first token or when it fails before.
    pub fn settle(&mut self, key: K, class: Class, prompt_tokens: u32) {
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
    pub fn cached(&mut self, key: K, blocks: &[u64], stored: bool, now: Millis) {
        if let Some(&slot) = self.slots.get(&key) {
            if stored {
                self.prefix.insert(narrow(slot), blocks, now);
            } else {
                self.prefix.remove(narrow(slot), blocks);
            }
        }
    }

    /// Records that cache events of an endpoint were lost.
    pub fn gap(&mut self, key: K, now: Millis) {
        if let Some(&slot) = self.slots.get(&key) {
            self.prefix.gap(narrow(slot), now);
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
        let depth = self.prefix.lookup(query.blocks, &mut self.matched);
        let (expected_ms, slot) = match self.settings.policy {
            Policy::Expected => choice::expected(self, query, depth, now),
            policy => baseline::choose(self, policy, query, now),
        }?;
        let choice = Choice {
            key: self.views[slot].as_ref()?.key,
            expected_ms,
            matched_tokens: (self.matched[slot] * BLOCK_TOKENS as f32) as u32,
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
    pub fn room(&self, class: Class, now: Millis) -> u32 {
        let mean = self.mean_foreign();
        let rooms = self.open().map(|(_, view)| {
            let out = view.outstanding(mean, self.settings.load_memory, now);
            let free = (f64::from(view.report.slots) - out).max(0.0);
            match class {
                Class::Interactive => free as u32,
                Class::Long => (free as u32).min(self.long_room(view)),
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
        self.prefix.lookup(blocks, &mut self.matched);
        let slot = self.slots.get(&key);
        slot.map_or(0, |slot| (self.matched[*slot] * BLOCK_TOKENS as f32) as u32)
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
        self.prefix.len()
    }

    /// Returns the requests that the open endpoints can serve at the same time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.open().map(|(_, view)| view.report.slots).sum()
    }

    /// Returns the requests of other nodes at all open endpoints, by the last reports.
    #[must_use]
    pub fn foreign(&self) -> f64 {
        self.open().map(|(_, view)| view.foreign).sum()
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

    /// Returns the mean of the requests of other nodes over the open endpoints.
    pub(super) fn mean_foreign(&self) -> f64 {
        let (sum, count) = self
            .open()
            .fold((0.0, 0.0), |(s, n), (_, v)| (s + v.foreign, n + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns how many more long requests of this node an endpoint takes.
    pub(super) fn long_room(&self, view: &View<K>) -> u32 {
        let limit = (f64::from(view.report.slots) * self.settings.long_share).ceil() as u32;
        limit.saturating_sub(view.long_in_flight)
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
