use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::admission::Action;
use crate::clock::Millis;
use crate::retry::{Attempt, Decision};
use crate::routing::Query;
use crate::verdict::Verdict;

use super::agenda::{Agenda, TICK_US};
use super::engine::{Engine, Happened, Sequence};
use super::event::Event;
use super::flight::Flight;
use super::node::Node;
use super::tally::Tally;
use super::{Endpoint, Options, Outcome, Trace};

/// One replay of a trace.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    options: Options,
    sites: Vec<Endpoint>,
    blocks: Vec<Vec<u64>>,
    outputs: Vec<u32>,
    flights: Vec<Flight>,
    nodes: Vec<Node>,
    engines: Vec<Option<Engine>>,
    agenda: Agenda,
    open: usize,
    rng: SmallRng,
    tally: Tally,
}

/// Construction.
impl<'a> Replay<'a> {
    /// Prepares the replay of a trace; requests to other services than that of the first
    /// endpoint are left out.
    #[must_use]
    pub fn new(trace: &'a Trace, options: Options) -> Self {
        let sites = trace.sites(options.engines);
        let mut nodes: Vec<Node> = (0..options.nodes)
            .map(|number| Node::new(trace, &options, number))
            .collect();
        for (index, site) in sites.iter().enumerate() {
            for node in &mut nodes {
                node.scheduler
                    .router
                    .upsert(index, site.id(), site.price, true);
            }
        }
        let mut agenda = Agenda::default();
        agenda.reports(&options, sites.len());
        let open = agenda.arrivals(trace, &options, &sites);
        agenda.reclaims(trace, &sites);
        agenda.at(TICK_US, Event::Tick);
        Self {
            blocks: trace.blocks(),
            outputs: trace.outputs(),
            flights: vec![Flight::default(); trace.requests.len()],
            nodes,
            engines: sites
                .iter()
                .map(|_| Some(Engine::new(options.engine)))
                .collect(),
            agenda,
            open,
            rng: SmallRng::seed_from_u64(options.seed),
            tally: Tally::default(),
            sites,
            trace,
            options,
        }
    }
}

/// The run.
impl Replay<'_> {
    /// Replays the trace until every request has ended.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while self.open > 0 {
            let Some(event) = self.agenda.next() else {
                break;
            };
            self.handle(event);
        }
        self.tally.outcome(&self.options, &self.sites)
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
                    node.scheduler.router.report(engine, report, now);
                }
                self.poll_all();
            }
            Event::Cached(engine, stored, evicted) => {
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
            Event::Gap(engine) => {
                let now = self.now();
                for node in &mut self.nodes {
                    node.scheduler.router.cache_events_lost(engine, now);
                }
            }
            Event::Notice(engine) => {
                let site = &self.sites[engine];
                for node in &mut self.nodes {
                    node.scheduler
                        .router
                        .upsert(engine, site.id(), site.price, false);
                }
            }
            Event::Lose(engine) => self.lose(engine),
            Event::Tick => {
                self.poll_all();
                let next = self.agenda.now_us() + TICK_US;
                self.agenda.at(next, Event::Tick);
            }
        }
    }

    fn now(&self) -> Millis {
        self.agenda.now()
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
            arrived_us: self.agenda.now_us(),
            ticket: offered.as_ref().ok().cloned(),
            ..Flight::default()
        };
        self.tally.of(request).requests += 1;
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
                Action::Dispatch(ticket) => {
                    let index = self.nodes[number].waiting.remove(&ticket.id);
                    self.dispatch(index.expect("a queued request waits"));
                }
                Action::Refuse(ticket, _) => {
                    let index = self.nodes[number].waiting.remove(&ticket.id);
                    self.refuse(index.expect("a queued request waits"));
                }
            }
        }
    }

    fn refuse(&mut self, index: usize) {
        self.tally.of(&self.trace.requests[index]).refused += 1;
        self.end();
    }

    fn end(&mut self) {
        self.open -= 1;
        self.tally.last_end_us = self.agenda.now_us();
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
        let Some(choice) = node.scheduler.router.choose(&query, now) else {
            return self.fail(index);
        };
        node.scheduler.router.dispatched(choice.key, &query, now);
        let flight = &mut self.flights[index];
        if flight.attempts == 0 {
            node.retry.record_first(&request.account, choice.key);
        } else {
            self.tally.retries += 1;
        }
        flight.attempts += 1;
        flight.engine = choice.key;
        flight.predicted = choice.matched_tokens;
        flight.dispatched_us = self.agenda.now_us();
        let left = self.outputs[index].saturating_sub(flight.generated).max(1);
        let prompt = request.prompt_tokens + flight.generated;
        let blocks = self.blocks[index].clone();
        let sequence = Sequence::new(index, request.class, prompt, blocks, left);
        self.tally
            .dispatched(choice.key, flight.generated, self.agenda.now_us());
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
        self.tally.of(request).late += 1;
        self.end();
    }

    fn lose(&mut self, engine: usize) {
        let Some(mut lost) = self.engines[engine].take() else {
            return;
        };
        for node in &mut self.nodes {
            node.scheduler.router.remove(engine);
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
        match self.nodes[flight.node].retry.decide(&attempt, now) {
            Decision::After(delay) => self.agenda.after(delay, Event::Retry(index)),
            _ => self.fail(index),
        }
    }
}

/// Engines.
impl Replay<'_> {
    fn start(&mut self, engine: usize) {
        let mut happened = Vec::new();
        let now = self.agenda.now_us();
        let end = self.engines[engine]
            .as_mut()
            .and_then(|e| e.start(now, &mut happened));
        self.apply(engine, happened);
        if let Some(end) = end {
            self.agenda.at(end, Event::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        let now = self.agenda.now_us();
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
        let lag = self.options.report_lag;
        self.agenda.after(lag, Event::Deliver(engine, report));
        let interval = self.options.report_interval;
        self.agenda.after(interval, Event::Report(engine));
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
                    self.tally.next(&self.trace.requests[request], gap);
                }
                Happened::Done(request) => self.done(request, engine),
                Happened::Cached { stored, evicted } => self.cached(engine, stored, evicted),
            }
        }
    }

    fn started(&mut self, index: usize, cached: u32, computed: &[u64]) {
        let request = &self.trace.requests[index];
        let prompt = request.prompt_tokens + self.flights[index].generated;
        self.tally.prefilled(prompt - cached, computed);
        let now = self.now();
        let flight = &self.flights[index];
        let (number, engine, predicted) = (flight.node, flight.engine, flight.predicted);
        let query = Query {
            blocks: &self.blocks[index],
            prompt_tokens: prompt,
            class: request.class,
            exclude: &[],
        };
        let router = &mut self.nodes[number].scheduler.router;
        router.started(engine, &query, predicted, cached, now);
    }

    fn first(&mut self, index: usize, engine: usize) {
        let request = &self.trace.requests[index];
        let flight = &mut self.flights[index];
        let since = self.agenda.now_us() - flight.arrived_us;
        let number = flight.node;
        if !std::mem::replace(&mut flight.first, true) {
            self.tally.first(request, since);
        }
        let tokens = request.prompt_tokens + self.flights[index].generated;
        self.nodes[number]
            .scheduler
            .router
            .release_prefill(engine, request.class, tokens);
    }

    fn done(&mut self, index: usize, engine: usize) {
        let now = self.now();
        let flight = self.flights[index].clone();
        let request = &self.trace.requests[index];
        let took = Millis((self.agenda.now_us() - flight.dispatched_us) / 1_000);
        let node = &mut self.nodes[flight.node];
        node.scheduler
            .router
            .finished(engine, request.class, Some(took));
        node.ended(
            &flight.ticket,
            request,
            Some((self.outputs[index], took)),
            now,
        );
        let total = self.agenda.now_us() - flight.arrived_us;
        self.tally.done(request, self.outputs[index], total);
        self.end();
        self.poll(flight.node);
    }

    fn cached(&mut self, engine: usize, stored: Vec<u64>, evicted: Vec<u64>) {
        let loss = self.options.event_loss.clamp(0.0, 1.0);
        let event = if self.rng.random_bool(loss) {
            // The numbers of the events that follow show the loss.
            Event::Gap(engine)
        } else {
            Event::Cached(engine, stored, evicted)
        };
        self.agenda.after(self.options.event_lag, event);
    }
}
