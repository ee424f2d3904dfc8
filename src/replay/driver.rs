use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::Action;
use crate::clock::Millis;
use crate::retry::{Attempt, Decision};
use crate::routing::Query;
use crate::verdict::Verdict;

use super::engine::{Engine, Sequence, StepEvent};
use super::event::Event;
use super::event_queue::{EventQueue, TICK_INTERVAL_US};
use super::node::Node;
use super::request_state::RequestState;
use super::stats::Stats;
use super::{Endpoint, Options, Outcome, Trace};

/// A discrete-event simulation that replays a trace.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    options: Options,
    endpoints: Vec<Endpoint>,
    /// Prefix block hashes of each request.
    block_hashes: Vec<Vec<u64>>,
    /// Tokens that each request generates.
    output_tokens: Vec<u32>,
    /// State of each request of the trace.
    states: Vec<RequestState>,
    nodes: Vec<Node>,
    /// The engine of each endpoint; `None` once its host is lost.
    engines: Vec<Option<Engine>>,
    events: EventQueue,
    /// Requests that have not ended yet, including those that have not arrived.
    unfinished: usize,
    rng: SmallRng,
    stats: Stats,
}

/// Construction.
impl<'a> Replay<'a> {
    /// Prepares the replay of a trace.
    ///
    /// Only requests to the service of the first endpoint are replayed.
    #[must_use]
    pub fn new(trace: &'a Trace, options: Options) -> Self {
        let endpoints = trace.fleet(options.engines);
        let mut nodes: Vec<Node> = (0..options.nodes)
            .map(|index| Node::new(trace, &options, index))
            .collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            for node in &mut nodes {
                node.scheduler
                    .router
                    .upsert(index, endpoint.id(), endpoint.price, true);
            }
        }
        let mut events = EventQueue::default();
        events.schedule_reports(&options, endpoints.len());
        let unfinished = events.schedule_arrivals(trace, &options, &endpoints);
        events.schedule_reclaims(trace, &endpoints);
        events.schedule_at(TICK_INTERVAL_US, Event::Tick);
        Self {
            block_hashes: trace.block_hashes(),
            output_tokens: trace.output_tokens(),
            states: vec![RequestState::default(); trace.requests.len()],
            nodes,
            engines: endpoints
                .iter()
                .map(|_| Some(Engine::new(options.engine)))
                .collect(),
            events,
            unfinished,
            rng: SmallRng::seed_from_u64(options.seed),
            stats: Stats::default(),
            endpoints,
            trace,
            options,
        }
    }
}

/// Event loop and arrivals.
impl Replay<'_> {
    /// Runs the simulation until every request has ended and returns the measurements.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while self.unfinished > 0 {
            let Some(event) = self.events.pop() else {
                break;
            };
            self.handle(event);
        }
        self.stats.into_outcome(&self.options, &self.endpoints)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index),
            Event::Retry(index) => self.dispatch(index),
            Event::StepEnd(engine) => self.finish_step(engine),
            Event::LoadReport(engine) => self.send_report(engine),
            Event::ReportDelivery(engine, report) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.scheduler.router.report(engine, report, now);
                }
                self.poll_all();
            }
            Event::CacheUpdate(engine, stored, evicted) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.scheduler
                        .router
                        .cache_event(engine, &stored, true, now);
                    node.scheduler
                        .router
                        .cache_event(engine, &evicted, false, now);
                }
            }
            Event::CacheGap(engine) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.scheduler.router.cache_events_lost(engine, now);
                }
            }
            Event::ReclaimNotice(engine) => {
                let endpoint = &self.endpoints[engine];
                for node in &mut self.nodes {
                    node.scheduler
                        .router
                        .upsert(engine, endpoint.id(), endpoint.price, false);
                }
            }
            Event::HostLoss(engine) => self.lose_engine(engine),
            Event::Tick => {
                self.poll_all();
                let next = self.events.now_us() + TICK_INTERVAL_US;
                self.events.schedule_at(next, Event::Tick);
            }
        }
    }

    fn now(&self) -> Millis {
        self.events.now()
    }

    fn handle_arrival(&mut self, index: usize) {
        let now = self.now();
        let request = &self.trace.requests[index];
        // Each caller picks a node at random.
        let node_index = self.rng.random_range(0..self.nodes.len());
        let node = &mut self.nodes[node_index];
        let ticket = node.enqueue(index, request, now);
        self.states[index] = RequestState {
            node: node_index,
            arrived_us: self.events.now_us(),
            ticket: ticket.as_ref().ok().cloned(),
            ..RequestState::default()
        };
        self.stats.samples_of(request).requests += 1;
        if ticket.is_err() {
            self.refuse(index);
        }
        self.poll(node_index);
    }

    fn poll_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.poll(node);
        }
    }

    /// Dispatches or refuses queued requests of a node until its scheduler has no action left.
    fn poll(&mut self, node: usize) {
        let now = self.now();
        while let Some(action) = self.nodes[node].poll(now) {
            match action {
                Action::Dispatch(ticket) => {
                    let index = self.nodes[node].queued.remove(&ticket.id);
                    self.dispatch(index.expect("the ticket belongs to a queued request"));
                }
                Action::Refuse(ticket, _) => {
                    let index = self.nodes[node].queued.remove(&ticket.id);
                    self.refuse(index.expect("the ticket belongs to a queued request"));
                }
            }
        }
    }

    fn refuse(&mut self, index: usize) {
        self.stats.samples_of(&self.trace.requests[index]).refused += 1;
        self.record_end();
    }

    fn record_end(&mut self) {
        self.unfinished -= 1;
        self.stats.last_end_us = self.events.now_us();
    }
}

/// Attempts.
impl Replay<'_> {
    /// Sends a request, for the first time or again, to the endpoint that its node's router chooses.
    fn dispatch(&mut self, index: usize) {
        let now = self.now();
        let node_index = self.states[index].node;
        let request = &self.trace.requests[index];
        let query = Query {
            blocks: &self.block_hashes[index],
            prompt_tokens: request.prompt_tokens + self.states[index].generated,
            class: request.class,
            exclude: &[],
        };
        let node = &mut self.nodes[node_index];
        let Some(choice) = node.scheduler.router.choose(&query, now) else {
            return self.fail(index);
        };
        node.scheduler.router.dispatched(choice.key, &query, now);
        let state = &mut self.states[index];
        if state.attempts == 0 {
            node.retry.record_first(&request.account, choice.key);
        } else {
            self.stats.retries += 1;
        }
        state.attempts += 1;
        state.engine = choice.key;
        state.predicted_cached = choice.matched_tokens;
        state.dispatched_us = self.events.now_us();
        let remaining = self.output_tokens[index]
            .saturating_sub(state.generated)
            .max(1);
        let prompt = request.prompt_tokens + state.generated;
        let blocks = self.block_hashes[index].clone();
        let sequence = Sequence::new(index, request.class, prompt, blocks, remaining);
        self.stats
            .record_dispatch(choice.key, state.generated, self.events.now_us());
        if let Some(engine) = &mut self.engines[choice.key] {
            engine.enqueue(sequence);
            if engine.busy_until.is_none() {
                self.start_step(choice.key);
            }
        }
    }

    /// Ends a request that gets no further attempt.
    fn fail(&mut self, index: usize) {
        let now = self.now();
        let state = &self.states[index];
        let request = &self.trace.requests[index];
        self.nodes[state.node].finish(&state.ticket, request, None, now);
        self.stats.samples_of(request).late += 1;
        self.record_end();
    }

    /// Removes a lost endpoint from all routers and redispatches, retries or fails its requests.
    fn lose_engine(&mut self, engine: usize) {
        let Some(mut lost) = self.engines[engine].take() else {
            return;
        };
        for node in &mut self.nodes {
            node.scheduler.router.remove(engine);
            node.retry.retain(|key| key != engine);
        }
        let announced = self.trace.reclaims.iter().any(|reclaim| {
            reclaim.endpoint == self.endpoints[engine].name && reclaim.notice_ms > Millis::ZERO
        });
        for sequence in lost.drain() {
            self.states[sequence.request].generated += sequence.generated;
            if announced {
                // Accepted work survives a loss that was announced: it is not counted as a failure
                // and takes nothing from the retry budget.
                self.dispatch(sequence.request);
            } else {
                self.retry_or_fail(sequence.request);
            }
        }
    }

    fn retry_or_fail(&mut self, index: usize) {
        let now = self.now();
        let request = &self.trace.requests[index];
        let state = &self.states[index];
        let attempt = Attempt {
            account: &request.account,
            endpoint: state.engine,
            attempts: state.attempts,
            idempotent: request.idempotent,
            verdict: Verdict::MayHaveRun,
            expected: state.ticket.as_ref().map_or(Millis::ZERO, |t| t.expected),
            deadline: Millis(state.arrived_us / 1_000) + request.deadline_ms,
        };
        match self.nodes[state.node].retry.decide(&attempt, now) {
            Decision::After(delay) => self.events.schedule_after(delay, Event::Retry(index)),
            _ => self.fail(index),
        }
    }
}

/// Engines.
impl Replay<'_> {
    /// Starts the next step of an engine that is idle, if it has work.
    fn start_step(&mut self, engine: usize) {
        let mut events = Vec::new();
        let now = self.events.now_us();
        let end = self.engines[engine]
            .as_mut()
            .and_then(|e| e.start_step(now, &mut events));
        self.apply_step_events(engine, events);
        if let Some(end) = end {
            self.events.schedule_at(end, Event::StepEnd(engine));
        }
    }

    fn finish_step(&mut self, engine: usize) {
        let now = self.events.now_us();
        let Some(running) = self.engines[engine].as_mut() else {
            return;
        };
        let mut events = Vec::new();
        running.finish_step(now, &mut events);
        self.apply_step_events(engine, events);
        self.start_step(engine);
    }

    fn send_report(&mut self, engine: usize) {
        let Some(report) = self.engines[engine].as_ref().map(Engine::report) else {
            return;
        };
        let lag = self.options.report_lag;
        self.events
            .schedule_after(lag, Event::ReportDelivery(engine, report));
        let interval = self.options.report_interval;
        self.events
            .schedule_after(interval, Event::LoadReport(engine));
    }

    fn apply_step_events(&mut self, engine: usize, events: Vec<StepEvent>) {
        for event in events {
            match event {
                StepEvent::Started {
                    request,
                    cached,
                    computed,
                } => {
                    self.record_prefill_start(request, cached, &computed);
                }
                StepEvent::FirstToken(request) => self.record_first_token(request, engine),
                StepEvent::NextToken(request, gap) => {
                    self.stats
                        .record_token_gap(&self.trace.requests[request], gap);
                }
                StepEvent::Finished(request) => self.finish_request(request, engine),
                StepEvent::CacheChanged { stored, evicted } => {
                    self.send_cache_event(engine, stored, evicted);
                }
            }
        }
    }

    fn record_prefill_start(&mut self, index: usize, cached: u32, computed: &[u64]) {
        let request = &self.trace.requests[index];
        let prompt = request.prompt_tokens + self.states[index].generated;
        self.stats.record_prefill(prompt - cached, computed);
        let now = self.now();
        let state = &self.states[index];
        let (node, engine, predicted) = (state.node, state.engine, state.predicted_cached);
        let query = Query {
            blocks: &self.block_hashes[index],
            prompt_tokens: prompt,
            class: request.class,
            exclude: &[],
        };
        let router = &mut self.nodes[node].scheduler.router;
        router.started(engine, &query, predicted, cached, now);
    }

    fn record_first_token(&mut self, index: usize, engine: usize) {
        let request = &self.trace.requests[index];
        let state = &mut self.states[index];
        let latency_us = self.events.now_us() - state.arrived_us;
        let node = state.node;
        if !std::mem::replace(&mut state.has_first_token, true) {
            self.stats.record_first_token(request, latency_us);
        }
        let tokens = request.prompt_tokens + self.states[index].generated;
        self.nodes[node]
            .scheduler
            .router
            .release_prefill(engine, request.class, tokens);
    }

    fn finish_request(&mut self, index: usize, engine: usize) {
        let now = self.now();
        let state = self.states[index].clone();
        let request = &self.trace.requests[index];
        let service_time = Millis((self.events.now_us() - state.dispatched_us) / 1_000);
        let node = &mut self.nodes[state.node];
        node.scheduler
            .router
            .finished(engine, request.class, Some(service_time));
        node.finish(
            &state.ticket,
            request,
            Some((self.output_tokens[index], service_time)),
            now,
        );
        let total_us = self.events.now_us() - state.arrived_us;
        self.stats
            .record_completion(request, self.output_tokens[index], total_us);
        self.record_end();
        self.poll(state.node);
    }

    /// Sends a cache event to the nodes; they see a gap when the simulated network loses it.
    fn send_cache_event(&mut self, engine: usize, stored: Vec<u64>, evicted: Vec<u64>) {
        let loss = self.options.event_loss.clamp(0.0, 1.0);
        let event = if self.rng.random_bool(loss) {
            // Nodes detect a lost event by the sequence numbers of the events that follow.
            Event::CacheGap(engine)
        } else {
            Event::CacheUpdate(engine, stored, evicted)
        };
        self.events.schedule_after(self.options.event_lag, event);
    }
}
