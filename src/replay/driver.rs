use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::{Poll, Ticket};
use crate::clock::Millis;
use crate::config::Class;
use crate::retry::{Attempt, Decision};
use crate::routing::{BLOCK_TOKENS, Query, Report};
use crate::verdict::Verdict;

use super::engine::{Engine, Happened, Sequence};
use super::node::Node;
use super::outcome::Samples;
use super::{Options, Outcome, Site, Trace};

/// Time between two looks at the queues of all nodes.
const TICK_US: u64 = 50_000;

/// Dispatches of a second from which on it counts for the largest share of one endpoint.
const MIN_DISPATCHES: u32 = 20;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Retry(usize),
    Step(usize),
    Report(usize),
    Deliver(usize, Report),
    Cached(usize, Vec<u64>, Vec<u64>),
    Gap(usize),
    Notice(usize),
    Lose(usize),
    Tick,
}

/// A request on its way.
#[derive(Clone, Debug, Default)]
struct Flight {
    node: usize,
    arrived_us: u64,
    dispatched_us: u64,
    engine: usize,
    attempts: u32,
    predicted: u32,
    ticket: Option<Ticket>,
    generated: u32,
    first: bool,
    ended: bool,
}

/// One replay of a trace.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    options: Options,
    sites: Vec<Site>,
    blocks: Vec<Vec<u64>>,
    outputs: Vec<u32>,
    flights: Vec<Flight>,
    nodes: Vec<Node>,
    engines: Vec<Option<Engine>>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now_us: u64,
    open: usize,
    rng: SmallRng,
    samples: BTreeMap<(Arc<str>, Class), Samples>,
    computed: HashSet<u64>,
    prefill_tokens: u64,
    recomputed_tokens: u64,
    retries: u64,
    last_end_us: u64,
    second: (u64, HashMap<usize, u32>),
    largest_share: f64,
}

/// Construction.
impl<'a> Replay<'a> {
    /// Prepares the replay of a trace; requests to other services than that of the first
    /// endpoint are left out.
    #[must_use]
    pub fn new(trace: &'a Trace, options: Options) -> Self {
        let sites = sites(trace, &options);
        let mut replay = Self {
            blocks: trace.blocks(),
            outputs: trace.outputs(),
            flights: vec![Flight::default(); trace.requests.len()],
            nodes: (0..options.nodes)
                .map(|number| Node::new(trace, &options, number))
                .collect(),
            engines: sites
                .iter()
                .map(|_| Some(Engine::new(options.engine)))
                .collect(),
            events: BTreeMap::new(),
            sequence: 0,
            now_us: 0,
            open: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            samples: BTreeMap::new(),
            computed: HashSet::new(),
            prefill_tokens: 0,
            recomputed_tokens: 0,
            retries: 0,
            last_end_us: 0,
            second: (0, HashMap::new()),
            largest_share: 0.0,
            sites,
            trace,
            options,
        };
        replay.prepare();
        replay
    }

    fn prepare(&mut self) {
        for (index, site) in self.sites.iter().enumerate() {
            for node in &mut self.nodes {
                let id = xxhash_rust::xxh3::xxh3_64(site.name.as_bytes());
                node.lane.router.upsert(index, id, site.price, true);
            }
        }
        for index in 0..self.sites.len() {
            // Engines report at different times.
            let offset = self.options.report_interval.0 * 1_000 * index as u64;
            self.at(offset / self.sites.len() as u64, Event::Report(index));
        }
        let service = self.sites.first().map(|site| Arc::clone(&site.service));
        let trace = self.trace;
        for (index, request) in trace.requests.iter().enumerate() {
            if Some(&request.service) == service.as_ref() {
                let at = request.at_ms.as_f64() * 1_000.0 / self.options.speed;
                self.at(at as u64, Event::Arrive(index));
                self.open += 1;
            }
        }
        for reclaim in &trace.reclaims {
            let found = self.sites.iter().position(|s| s.name == reclaim.endpoint);
            if let Some(engine) = found {
                let notice = reclaim.at_ms - reclaim.notice_ms;
                self.at(notice.0 * 1_000, Event::Notice(engine));
                self.at(reclaim.at_ms.0 * 1_000, Event::Lose(engine));
            }
        }
        self.at(TICK_US, Event::Tick);
    }

    fn at(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time_us, self.sequence), event);
    }
}

/// Returns the endpoints: the first of the trace, or copies of them when more are asked for.
fn sites(trace: &Trace, options: &Options) -> Vec<Site> {
    let service = trace
        .endpoints
        .first()
        .map(|site| Arc::clone(&site.service));
    let own = trace
        .endpoints
        .iter()
        .filter(|s| Some(&s.service) == service.as_ref());
    let own: Vec<&Site> = own.collect();
    let count = options.engines.unwrap_or(own.len());
    let copy = |index: usize| {
        let site = own[index % own.len()];
        let copy = index / own.len();
        Site {
            name: if copy == 0 {
                Arc::clone(&site.name)
            } else {
                format!("{}-{copy}", site.name).into()
            },
            ..site.clone()
        }
    };
    (0..count).filter(|_| !own.is_empty()).map(copy).collect()
}

/// The run.
impl Replay<'_> {
    /// Replays the trace until every request has ended.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while self.open > 0 {
            let Some(((time, _), event)) = self.events.pop_first() else {
                break;
            };
            self.now_us = time;
            self.handle(event);
        }
        let seconds = self.last_end_us as f64 / 1e6;
        Outcome {
            policy: self.options.policy,
            seed: self.options.seed,
            engines: self.sites.len(),
            price: self.sites.iter().map(|site| site.price).sum(),
            seconds,
            prefill_tokens: self.prefill_tokens,
            recomputed_tokens: self.recomputed_tokens,
            retries: self.retries,
            largest_share: self.largest_share,
            rows: Outcome::rows(&self.samples, seconds.max(1e-3)),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Retry(index) => self.dispatch(index),
            Event::Step(engine) => self.step(engine),
            Event::Report(engine) => self.report(engine),
            Event::Deliver(engine, report) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.lane.router.report(engine, report, now);
                }
                self.poll_all();
            }
            Event::Cached(engine, stored, evicted) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.lane.router.cached(engine, &stored, true, now);
                    node.lane.router.cached(engine, &evicted, false, now);
                }
            }
            Event::Gap(engine) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.lane.router.gap(engine, now);
                }
            }
            Event::Notice(engine) => {
                let site = &self.sites[engine];
                let id = xxhash_rust::xxh3::xxh3_64(site.name.as_bytes());
                for node in &mut self.nodes {
                    node.lane.router.upsert(engine, id, site.price, false);
                }
            }
            Event::Lose(engine) => self.lose(engine),
            Event::Tick => {
                self.poll_all();
                self.at(self.now_us + TICK_US, Event::Tick);
            }
        }
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn arrive(&mut self, index: usize) {
        let now = self.now();
        let request = &self.trace.requests[index];
        // Requests are spread over the nodes as by callers that pick one at random.
        let number = self.rng.random_range(0..self.nodes.len());
        let node = &mut self.nodes[number];
        let offered = node.offer(index, request, now);
        self.flights[index] = Flight {
            node: number,
            arrived_us: self.now_us,
            ticket: offered.as_ref().ok().cloned(),
            ..Flight::default()
        };
        self.samples(index).requests += 1;
        if offered.is_err() {
            self.refuse(index);
        }
        self.poll(number);
    }

    fn poll_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.poll(number);
        }
    }

    fn poll(&mut self, number: usize) {
        let now = self.now();
        while let Some(poll) = self.nodes[number].poll(now) {
            match poll {
                Poll::Dispatch(ticket) => {
                    let index = self.nodes[number].waiting.remove(&ticket.id);
                    self.dispatch(index.expect("a queued request waits"));
                }
                Poll::Refuse(ticket, _) => {
                    let index = self.nodes[number].waiting.remove(&ticket.id);
                    self.refuse(index.expect("a queued request waits"));
                }
            }
        }
    }

    fn refuse(&mut self, index: usize) {
        self.samples(index).refused += 1;
        self.end(index);
    }

    fn end(&mut self, index: usize) {
        self.flights[index].ended = true;
        self.open -= 1;
        self.last_end_us = self.now_us;
    }

    fn samples(&mut self, index: usize) -> &mut Samples {
        let request = &self.trace.requests[index];
        let key = (Arc::clone(&request.account), request.class);
        self.samples.entry(key).or_default()
    }
}

/// Attempts.
impl Replay<'_> {
    fn dispatch(&mut self, index: usize) {
        let now = self.now();
        let number = self.flights[index].node;
        let request = &self.trace.requests[index];
        let query = Query {
            blocks: &self.blocks[index],
            prompt_tokens: request.prompt_tokens + self.flights[index].generated,
            class: request.class,
            exclude: &[],
        };
        let node = &mut self.nodes[number];
        let Some(choice) = node.lane.router.choose(&query, now) else {
            return self.fail(index);
        };
        node.lane.router.dispatched(choice.key, &query, now);
        let flight = &mut self.flights[index];
        if flight.attempts == 0 {
            node.retry.first(&request.account, choice.key);
        } else {
            self.retries += 1;
        }
        flight.attempts += 1;
        flight.engine = choice.key;
        flight.predicted = choice.matched_tokens;
        flight.dispatched_us = self.now_us;
        let left = self.outputs[index].saturating_sub(flight.generated).max(1);
        let prompt = request.prompt_tokens + flight.generated;
        let blocks = self.blocks[index].clone();
        let sequence = Sequence::new(index, request.class, prompt, blocks, left);
        self.recomputed_tokens += u64::from(flight.generated);
        self.count_dispatch(choice.key);
        if let Some(engine) = &mut self.engines[choice.key] {
            engine.push(sequence);
            if engine.busy_until.is_none() {
                self.start(choice.key);
            }
        }
    }

    fn fail(&mut self, index: usize) {
        let now = self.now();
        let flight = &self.flights[index];
        let request = &self.trace.requests[index];
        self.nodes[flight.node].ended(&flight.ticket, request, None, now);
        self.samples(index).late += 1;
        self.end(index);
    }

    fn count_dispatch(&mut self, engine: usize) {
        let second = self.now_us / 1_000_000;
        if self.second.0 != second {
            let total: u32 = self.second.1.values().sum();
            let most = self.second.1.values().max().copied().unwrap_or(0);
            if total >= MIN_DISPATCHES {
                let share = f64::from(most) / f64::from(total);
                self.largest_share = self.largest_share.max(share);
            }
            self.second = (second, HashMap::new());
        }
        *self.second.1.entry(engine).or_default() += 1;
    }

    fn lose(&mut self, engine: usize) {
        let Some(mut lost) = self.engines[engine].take() else {
            return;
        };
        for node in &mut self.nodes {
            node.lane.router.remove(engine);
            node.retry.retain(|key| key != engine);
        }
        let announced = self.trace.reclaims.iter().any(|reclaim| {
            reclaim.endpoint == self.sites[engine].name && reclaim.notice_ms > Millis::ZERO
        });
        for sequence in lost.lose() {
            self.flights[sequence.request].generated += sequence.generated;
            if announced {
                // An announced loss is no failure, and accepted work survives it: no budget.
                self.dispatch(sequence.request);
            } else {
                self.retry(sequence.request);
            }
        }
    }

    fn retry(&mut self, index: usize) {
        let now = self.now();
        let request = &self.trace.requests[index];
        let flight = &self.flights[index];
        let attempt = Attempt {
            account: &request.account,
            endpoint: flight.engine,
            attempts: flight.attempts,
            idempotent: request.idempotent,
            verdict: Verdict::MayHaveRun,
            expected: flight.ticket.as_ref().map_or(Millis::ZERO, |t| t.expected),
            deadline: Millis(flight.arrived_us / 1_000) + request.deadline_ms,
        };
        match self.nodes[flight.node].retry.retry(&attempt, now) {
            Decision::After(delay) => self.at(self.now_us + delay.0 * 1_000, Event::Retry(index)),
            _ => self.fail(index),
        }
    }
}

/// Engines.
impl Replay<'_> {
    fn start(&mut self, engine: usize) {
        let mut happened = Vec::new();
        let now = self.now_us;
        let end = self.engines[engine]
            .as_mut()
            .and_then(|e| e.start(now, &mut happened));
        self.apply(engine, happened);
        if let Some(end) = end {
            self.at(end, Event::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        let now = self.now_us;
        let Some(running) = self.engines[engine].as_mut() else {
            return;
        };
        let mut happened = Vec::new();
        running.finish(now, &mut happened);
        self.apply(engine, happened);
        self.start(engine);
    }

    fn report(&mut self, engine: usize) {
        let Some(report) = self.engines[engine].as_ref().map(Engine::report) else {
            return;
        };
        let arrival = self.now_us + self.options.report_lag.0 * 1_000;
        self.at(arrival, Event::Deliver(engine, report));
        let next = self.now_us + self.options.report_interval.0 * 1_000;
        self.at(next, Event::Report(engine));
    }

    fn apply(&mut self, engine: usize, happened: Vec<Happened>) {
        for event in happened {
            match event {
                Happened::Started {
                    request,
                    cached,
                    computed,
                } => {
                    self.started(request, cached, &computed);
                }
                Happened::First(request) => self.first(request, engine),
                Happened::Next(request, gap) => {
                    record(&mut self.samples(request).next, gap);
                }
                Happened::Done(request) => self.done(request, engine),
                Happened::Cached { stored, evicted } => self.cached(engine, stored, evicted),
            }
        }
    }

    fn started(&mut self, index: usize, cached: u32, computed: &[u64]) {
        let request = &self.trace.requests[index];
        let prompt = request.prompt_tokens + self.flights[index].generated;
        self.prefill_tokens += u64::from(prompt - cached);
        let again = computed
            .iter()
            .filter(|block| !self.computed.insert(**block));
        self.recomputed_tokens += again.count() as u64 * u64::from(BLOCK_TOKENS);
        let now = self.now();
        let flight = &self.flights[index];
        let (number, engine, predicted) = (flight.node, flight.engine, flight.predicted);
        let query = Query {
            blocks: &self.blocks[index],
            prompt_tokens: prompt,
            class: request.class,
            exclude: &[],
        };
        let router = &mut self.nodes[number].lane.router;
        router.confirmed(engine, &query, predicted, cached, now);
    }

    fn first(&mut self, index: usize, engine: usize) {
        let flight = &mut self.flights[index];
        let since = self.now_us - flight.arrived_us;
        let number = flight.node;
        if !std::mem::replace(&mut flight.first, true) {
            record(&mut self.samples(index).first, since);
        }
        let request = &self.trace.requests[index];
        let tokens = request.prompt_tokens + self.flights[index].generated;
        self.nodes[number]
            .lane
            .router
            .settle(engine, request.class, tokens);
    }

    fn done(&mut self, index: usize, engine: usize) {
        let now = self.now();
        let flight = self.flights[index].clone();
        let request = &self.trace.requests[index];
        let took = Millis((self.now_us - flight.dispatched_us) / 1_000);
        let node = &mut self.nodes[flight.node];
        node.lane.router.finished(engine, request.class, Some(took));
        node.ended(
            &flight.ticket,
            request,
            Some((self.outputs[index], took)),
            now,
        );
        let total = self.now_us - flight.arrived_us;
        let tokens = u64::from(request.prompt_tokens) + u64::from(self.outputs[index]);
        let samples = self.samples(index);
        record(&mut samples.total, total);
        if total <= request.deadline_ms.0 * 1_000 {
            samples.good += 1;
            samples.good_tokens += tokens;
        } else {
            samples.late += 1;
        }
        self.end(index);
        self.poll(flight.node);
    }

    fn cached(&mut self, engine: usize, stored: Vec<u64>, evicted: Vec<u64>) {
        let at = self.now_us + self.options.event_lag.0 * 1_000;
        if self
            .rng
            .random_bool(self.options.event_loss.clamp(0.0, 1.0))
        {
            // The numbers of the events that follow show the loss.
            self.at(at, Event::Gap(engine));
        } else {
            self.at(at, Event::Cached(engine, stored, evicted));
        }
    }
}

fn record(histogram: &mut Histogram<u64>, micros: u64) {
    // The histogram grows as needed, so that every value can be recorded.
    let _ = histogram.record(micros);
}
