use std::collections::HashMap;
use std::fs::File;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use xxhash_rust::xxh3::Xxh3;

use crate::admission::{Action, Reason, Share, Ticket};
use crate::clock::Millis;
use crate::config::{Class, Config};
use crate::endpoint::{Key, Table};
use crate::error::{Error, ErrorKind};
use crate::replay::Recorder;
use crate::retry::{Attempt, Backoff, Decision, Latencies, Occupancy, Retry};
use crate::routing::{self, Query, Report};
use crate::scheduler::{self, Arrival, Scheduler};
use crate::settings;

use super::Node;
use super::recording::Recording;
use super::request::Request;

/// Longest time until a node's demand is known to its peers: each node probes three peers a second.
const DEMAND_WINDOW: Millis = Millis(5_000);

/// Time after which a peer that announces nothing no longer counts in the shares of limits.
const DEMAND_EXPIRY: Millis = Millis(15_000);

/// Time after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis(1_000);

/// Maximum number of accounts with a share. There are a few more than the configured accounts only
/// while the configuration changes.
const MAX_SHARES: usize = 1_024;

/// Requests in the queue, by the id of their ticket.
type Waiting = HashMap<u64, oneshot::Sender<Result<(), Reason>>>;

/// The admission, routing and retry state of a node for all services.
#[derive(Debug)]
pub(super) struct Dispatch {
    state: Mutex<State>,
    pub(super) recording: Option<Recording>,
}

#[derive(Debug)]
struct State {
    services: HashMap<Arc<str>, Service>,
    retry: Retry<Key>,
    shares: HashMap<Arc<str>, Share>,
    seed: u64,
}

#[derive(Debug)]
struct Service {
    scheduler: Scheduler<Key>,
    /// Latencies of attempts at a plain service, per route.
    latencies: HashMap<Arc<str>, Latencies>,
    waiting: Waiting,
}

/// Criteria for the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Criteria<'a> {
    pub(super) service: &'a Arc<str>,
    pub(super) class: Class,
    /// The prompt; empty for plain services.
    pub(super) prompt: &'a str,
    /// Endpoints that are not chosen, because earlier attempts used them.
    pub(super) exclude: &'a [Key],
    /// Number in [0, 1] that selects the version; the same at all nodes for a request.
    pub(super) draw: f64,
}

/// The part of a model request's body that admission needs.
#[derive(Deserialize)]
struct RequestSize<'a> {
    #[serde(borrow)]
    prompt: std::borrow::Cow<'a, str>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Permission for a request to use endpoints, returned when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    node: Arc<Node>,
    /// `None` for a call that bypassed the queue.
    ticket: Option<Ticket>,
    service: Arc<str>,
    route: Arc<str>,
    admitted_at: Millis,
    output_tokens: Option<u32>,
    trace: Option<crate::replay::Request>,
    /// Counts the request towards the node's request limit.
    _request_permit: OwnedSemaphorePermit,
}

/// A reservation for an attempt, which counts as in flight at its endpoint until dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    node: Arc<Node>,
    service: Arc<str>,
    class: Class,
    blocks: Vec<u64>,
    prompt_tokens: u32,
    predicted_cached_tokens: u32,
    reserved_at: Millis,
    prefill_pending: bool,
    succeeded: bool,
    key: Key,
}

/// An endpoint that was chosen.
#[derive(Debug)]
pub(super) struct ChosenEndpoint {
    pub(super) key: Key,
    pub(super) host: Arc<str>,
    pub(super) address: SocketAddr,
}

impl Criteria<'_> {
    fn query<'q>(&self, blocks: &'q [u64], exclude: &'q [Key]) -> Query<'q, Key> {
        let model = !self.prompt.is_empty();
        Query {
            blocks,
            prompt_tokens: if model {
                routing::estimate_tokens(self.prompt)
            } else {
                0
            },
            class: self.class,
            exclude,
        }
    }
}

impl Dispatch {
    /// Creates the state of a node without services, with an open trace file if one is set.
    pub(super) fn new(settings: &settings::Node, now: Millis) -> eyre::Result<Self> {
        let seed = rand::random();
        let recording = match &settings.trace_file {
            Some(path) => {
                let file = File::create(path)
                    .wrap_err_with(|| format!("creating the trace {}", path.display()))?;
                Some(Recording::new(Recorder::new(file), now))
            }
            None => None,
        };
        Ok(Self {
            state: Mutex::new(State {
                services: HashMap::new(),
                retry: Retry::new(Backoff::default(), seed),
                shares: HashMap::new(),
                seed,
            }),
            recording,
        })
    }

    /// Applies the services, routes and accounts of a configuration.
    pub(super) fn configure(&self, config: &Config) {
        let mut state = self.state.lock().expect("dispatch lock");
        for service in &config.services {
            state.service(&service.name, config.weights.cost);
        }
        for service in state.services.values_mut() {
            service
                .latencies
                .retain(|route, _| config.route(route).is_some());
            for account in &config.client_accounts {
                let limit = account.limit_cost_per_s;
                service
                    .scheduler
                    .admission
                    .configure(&account.name, account.weight, limit);
            }
        }
        if let Some(recording) = &self.recording {
            recording.configure(config);
        }
    }

    /// Updates the routers with the endpoints, their prices and their load.
    pub(super) fn refresh(&self, endpoints: &Table) {
        let mut state = self.state.lock().expect("dispatch lock");
        for (key, endpoint) in endpoints.iter() {
            let host = &endpoint.host;
            if let Some(service) = state.services.get_mut(&host.service) {
                let router = &mut service.scheduler.router;
                router.upsert(key, stable_id(&host.host), host.price, !endpoint.leaving);
                let load = &endpoint.load;
                let report = Report {
                    running: load.running,
                    queued: load.queued,
                    slots: load.slots,
                };
                router.report_newer(key, report, endpoint.loaded_at);
            }
        }
        for service in state.services.values_mut() {
            service
                .scheduler
                .router
                .retain(|key| endpoints.get(key).is_some());
        }
        state.retry.retain(|key| endpoints.get(key).is_some());
        if let Some(recording) = &self.recording {
            recording.add_endpoints(endpoints.iter().map(|(_, endpoint)| &endpoint.host));
        }
    }
}

impl Dispatch {
    /// Counts an attempt at a plain service that starts or ends.
    pub(super) fn count_plain(&self, service: &Arc<str>, key: Key, starts: bool) {
        let mut state = self.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(service) {
            let router = &mut service.scheduler.router;
            if starts {
                router.dispatched(key, &PLAIN_QUERY, Millis::ZERO);
            } else {
                router.finished(key, Class::Interactive, None);
            }
        }
    }
}

/// The query of a plain service, which has no prompt.
const PLAIN_QUERY: Query<'_, Key> = Query {
    blocks: &[],
    prompt_tokens: 0,
    class: Class::Interactive,
    exclude: &[],
};

impl State {
    fn service(&mut self, name: &Arc<str>, cost_weight: f64) -> &mut Service {
        let seed = self.seed ^ stable_id(name);
        self.services.entry(Arc::clone(name)).or_insert_with(|| {
            let routing = routing::Settings {
                seed,
                ..routing::Settings::default()
            };
            let price_ms = routing.price_ms * cost_weight * 2.0;
            Service {
                scheduler: Scheduler::new(scheduler::Settings {
                    routing: routing::Settings {
                        price_ms,
                        ..routing
                    },
                    ..scheduler::Settings::default()
                }),
                latencies: HashMap::new(),
                waiting: HashMap::new(),
            }
        })
    }

    fn share(&mut self, account: &Arc<str>, now: Millis) -> &mut Share {
        if self.shares.len() >= MAX_SHARES && !self.shares.contains_key(account) {
            self.shares.clear();
        }
        self.shares
            .entry(Arc::clone(account))
            .or_insert_with(|| Share::new(DEMAND_WINDOW, DEMAND_EXPIRY, now))
    }
}

impl Service {
    /// Dispatches and refuses requests that are due; a request whose caller is gone counts as
    /// ended.
    fn dispatch_due(&mut self, now: Millis) {
        while let Some(action) = self.scheduler.poll(now) {
            let (ticket, result) = match action {
                Action::Dispatch(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, reason) => (ticket, Err(reason)),
            };
            let sender = self.waiting.remove(&ticket.id);
            let dispatched = result.is_ok();
            let taken = sender.is_some_and(|sender| sender.send(result).is_ok());
            if dispatched && !taken {
                self.scheduler.finished(&ticket, &"".into(), None, now);
            }
        }
    }
}

/// Admission.
impl Node {
    /// Waits until a request may use endpoints.
    ///
    /// A non-idempotent call bypasses the queue: only its records in the log may refuse it with
    /// "not run", and their writer has a bounded queue of its own.
    ///
    /// # Errors
    ///
    /// Refuses a request that exceeds a limit, finds the queue full or can't meet its deadline.
    /// This attempt has not run then; callers of this method account for earlier attempts with the
    /// same key.
    pub(super) async fn admit(
        self: &Arc<Self>,
        request: &Request,
        request_permit: OwnedSemaphorePermit,
    ) -> Result<Permit, Error> {
        if !request.route.idempotent {
            return Ok(self.bypass_queue(request, request_permit));
        }
        let size = self.request_size(request)?;
        let prompt = size.as_ref().map_or("", |size| &*size.prompt);
        let limit = request.route.max_tokens;
        let requested = size.as_ref().and_then(|size| size.max_tokens);
        let model = size.is_some();
        let trace = model
            .then_some(self.dispatch.recording.as_ref())
            .flatten()
            .map(|recording| recording.begin(request, prompt, self.clock.now()));
        let enqueued = self.enqueue(request, prompt, requested.map_or(limit, |n| n.min(limit)));
        let (ticket, receiver) = match enqueued {
            Ok(queued) => queued,
            Err(reason) => return Err(self.refuse(reason, trace)),
        };
        let mut guard = QueueGuard {
            node: self,
            service: &request.route.service,
            ticket: Some(&ticket),
        };
        let result = receiver.await.unwrap_or(Err(Reason::QueueFull));
        guard.ticket = None;
        drop(guard);
        if let Err(reason) = result {
            return Err(self.refuse(reason, trace));
        }
        Ok(Permit {
            node: Arc::clone(self),
            service: Arc::clone(&request.route.service),
            route: Arc::clone(&request.route.name),
            admitted_at: self.clock.now(),
            output_tokens: None,
            trace,
            ticket: Some(ticket),
            _request_permit: request_permit,
        })
    }

    /// Creates the permit of a call that bypasses the queue.
    fn bypass_queue(
        self: &Arc<Self>,
        request: &Request,
        request_permit: OwnedSemaphorePermit,
    ) -> Permit {
        Permit {
            node: Arc::clone(self),
            service: Arc::clone(&request.route.service),
            route: Arc::clone(&request.route.name),
            admitted_at: self.clock.now(),
            output_tokens: None,
            trace: None,
            ticket: None,
            _request_permit: request_permit,
        }
    }

    /// Parses the size of a model request; `None` for a request to a plain service.
    fn request_size<'a>(&self, request: &'a Request) -> Result<Option<RequestSize<'a>>, Error> {
        if request.route.max_tokens == 0 {
            return Ok(None);
        }
        serde_json::from_slice(&request.body)
            .map(Some)
            .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("body: {error}")))
    }

    /// Adds a request to the queue of its service; the receiver reports its dispatch or refusal.
    fn enqueue(
        &self,
        request: &Request,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<(Ticket, oneshot::Receiver<Result<(), Reason>>), Reason> {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        let share = state.share(&request.account, now).current(now);
        let cost_weight = request.active.config.weights.cost;
        let service = state.service(&request.route.service, cost_weight);
        let ticket = service.scheduler.enqueue(
            &Arrival {
                account: &request.account,
                route: &request.route.name,
                class: request.route.class,
                prompt_tokens: if max_tokens > 0 {
                    routing::estimate_tokens(prompt)
                } else {
                    0
                },
                max_tokens,
                deadline: request.deadline,
                share,
            },
            now,
        )?;
        let (sender, receiver) = oneshot::channel();
        service.waiting.insert(ticket.id, sender);
        service.dispatch_due(now);
        if service.waiting.contains_key(&ticket.id) {
            metrics::counter!("almondpath_requests_queued_total").increment(1);
        }
        Ok((ticket, receiver))
    }

    /// Returns the error for a refused request, and ends its line in the trace.
    fn refuse(&self, reason: Reason, trace: Option<crate::replay::Request>) -> Error {
        if let (Some(recording), Some(trace)) = (&self.dispatch.recording, trace) {
            recording.finish(trace);
        }
        let (kind, message) = match reason {
            Reason::QueueFull => (ErrorKind::Overloaded, "the queue is full"),
            Reason::Limit => (ErrorKind::Overloaded, "the account's limit is reached"),
            Reason::Deadline => (ErrorKind::DeadlineExceeded, "the deadline can't be met"),
        };
        Error::not_run(kind, message).with_retry_after(RETRY_AFTER)
    }

    /// Dispatches the queued requests for which there is capacity now.
    pub(super) fn dispatch_due(&self) {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        for service in state.services.values_mut() {
            service.dispatch_due(now);
        }
    }
}

/// Routing and retries.
impl Node {
    /// Chooses the endpoint of an attempt.
    pub(super) fn choose(&self, criteria: &Criteria<'_>) -> Option<ChosenEndpoint> {
        let now = self.clock.now();
        let blocks = routing::block_hashes(criteria.prompt);
        let mut exclude = {
            let mut endpoints = self.endpoints.lock().expect("endpoints lock");
            endpoints.excluded(criteria.service, criteria.draw)
        };
        exclude.extend_from_slice(criteria.exclude);
        let query = criteria.query(&blocks, &exclude);
        let mut refreshed = false;
        loop {
            let mut state = self.dispatch.state.lock().expect("dispatch lock");
            let router = &mut state.services.get_mut(criteria.service)?.scheduler.router;
            let chosen = router.choose(&query, now);
            drop(state);
            let Some(choice) = chosen else {
                // An endpoint may have been added since the last refresh.
                if std::mem::replace(&mut refreshed, true) {
                    return None;
                }
                self.refresh_policy();
                continue;
            };
            let key = choice.key;
            let endpoints = self.endpoints.lock().expect("endpoints lock");
            let endpoint = endpoints.get(key).filter(|e| !e.leaving);
            if let Some(endpoint) = endpoint {
                return Some(ChosenEndpoint {
                    key,
                    host: Arc::clone(&endpoint.host.host),
                    address: endpoint.host.address,
                });
            }
            drop(endpoints);
            // The endpoint is leaving, but the router has not been refreshed since. Each round
            // closes one endpoint, so the loop ends.
            let mut state = self.dispatch.state.lock().expect("dispatch lock");
            let router = &mut state.services.get_mut(criteria.service)?.scheduler.router;
            router.close(key);
        }
    }

    /// Counts an attempt as in flight at an endpoint until the reservation is dropped.
    pub(super) fn reserve(self: &Arc<Self>, key: Key, criteria: &Criteria<'_>) -> Reservation {
        let now = self.clock.now();
        let blocks = routing::block_hashes(criteria.prompt);
        let query = criteria.query(&blocks, &[]);
        let prompt_tokens = query.prompt_tokens;
        let mut predicted_cached_tokens = 0;
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(criteria.service) {
            let router = &mut service.scheduler.router;
            predicted_cached_tokens = router.matched_tokens(key, &blocks);
            router.dispatched(key, &query, now);
        }
        drop(state);
        let mut endpoints = self.endpoints.lock().expect("endpoints lock");
        endpoints.count_request(key, true);
        Reservation {
            node: Arc::clone(self),
            service: Arc::clone(criteria.service),
            class: criteria.class,
            blocks,
            prompt_tokens,
            predicted_cached_tokens,
            reserved_at: now,
            prefill_pending: true,
            succeeded: false,
            key,
        }
    }

    /// Records a first attempt in the retry budgets.
    pub(super) fn record_first_attempt(&self, account: &Arc<str>, endpoint: Key) {
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        state.retry.record_first(account, endpoint);
    }

    /// Decides whether to retry a failed request.
    pub(super) fn retry(&self, attempt: &Attempt<'_, Key>) -> Decision {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        state.retry.decide(attempt, now)
    }

    /// Records the latency of an attempt at a plain service.
    pub(super) fn record_latency(&self, service: &Arc<str>, route: &Arc<str>, took: Millis) {
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(service) {
            let latencies = service.latencies.entry(Arc::clone(route)).or_default();
            latencies.record(took);
        }
    }

    /// Returns the time after which an attempt on a route counts as slow, if known.
    pub(super) fn slow_threshold(&self, service: &Arc<str>, route: &Arc<str>) -> Option<Millis> {
        let state = self.dispatch.state.lock().expect("dispatch lock");
        let latencies = state.services.get(service)?.latencies.get(route)?;
        latencies.slow_threshold()
    }

    /// Decides whether to hedge a slow attempt with a second one, and charges the budgets if so.
    pub(super) fn hedge(
        &self,
        service: &Arc<str>,
        attempt: &Attempt<'_, Key>,
        waited: Millis,
        slow_threshold: Millis,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.dispatch.state.lock().expect("dispatch lock");
        let occupancy = state.services.get(service).map(|service| Occupancy {
            queued: service.scheduler.admission.queued(),
            free: service.scheduler.router.free_slots(Class::Interactive, now),
            slots: service.scheduler.router.slots(),
        });
        occupancy.is_some_and(Occupancy::allows_hedge)
            && state.retry.hedge(attempt, waited, slow_threshold, now)
    }
}

/// Demand, for the shares of global limits.
impl Dispatch {
    /// Records the demand of an account that this node announces, in requests a second.
    pub(super) fn record_own_demand(&self, account: &Arc<str>, rate: f64, now: Millis) {
        let mut state = self.state.lock().expect("dispatch lock");
        state.share(account, now).record_own(rate, now);
    }

    /// Records the demand that a peer announced.
    pub(super) fn record_peer_demand(
        &self,
        account: &Arc<str>,
        peer: &Arc<str>,
        rate: f64,
        at: Millis,
    ) {
        let mut state = self.state.lock().expect("dispatch lock");
        let share = state.share(account, at);
        share.record_peer(peer, rate, at);
        share.forget(None, at);
    }
}

/// Removes a request from the queue when its caller disconnects while it waits.
struct QueueGuard<'a> {
    node: &'a Node,
    service: &'a Arc<str>,
    ticket: Option<&'a Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let now = self.node.clock.now();
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(self.service) {
            let admission = &mut service.scheduler.admission;
            let queued =
                admission.cancel(&ticket.account, ticket.class, ticket.deadline, ticket.id);
            let waited = service.waiting.remove(&ticket.id).is_some();
            if !queued && !waited {
                // It was dispatched just as the caller disconnected.
                service.scheduler.finished(ticket, &"".into(), None, now);
            }
            service.dispatch_due(now);
        }
    }
}

impl Permit {
    /// Records that the request succeeded and generated `tokens` tokens.
    pub(super) fn succeeded(&mut self, tokens: u32) {
        self.output_tokens = Some(tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let node = Arc::clone(&self.node);
        let now = node.clock.now();
        let took = now - self.admitted_at;
        let succeeded = self.output_tokens.map(|tokens| (tokens, took));
        let mut state = node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            if let Some(ticket) = &self.ticket {
                service
                    .scheduler
                    .finished(ticket, &self.route, succeeded, now);
            }
            service.dispatch_due(now);
        }
        drop(state);
        if let (Some(recording), Some(mut trace)) = (&node.dispatch.recording, self.trace.take()) {
            trace.output_tokens = self.output_tokens;
            recording.finish(trace);
        }
    }
}

impl Reservation {
    /// Records that the endpoint has started, with the prompt tokens that it found in its cache.
    pub(super) fn started(&mut self, cached_tokens: u32) {
        let now = self.node.clock.now();
        let query = Query {
            blocks: &self.blocks,
            prompt_tokens: self.prompt_tokens,
            class: self.class,
            exclude: &[],
        };
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.started(
                self.key,
                &query,
                self.predicted_cached_tokens,
                cached_tokens,
                now,
            );
        }
    }

    /// Records that the first token has arrived.
    pub(super) fn first_token(&mut self) {
        if !std::mem::replace(&mut self.prefill_pending, false) {
            return;
        }
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.release_prefill(self.key, self.class, self.prompt_tokens);
        }
    }

    /// Records that the attempt succeeded.
    pub(super) fn succeeded(&mut self) {
        self.succeeded = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.first_token();
        let now = self.node.clock.now();
        let took = self.succeeded.then_some(now - self.reserved_at);
        let mut state = self.node.dispatch.state.lock().expect("dispatch lock");
        if let Some(service) = state.services.get_mut(&self.service) {
            let router = &mut service.scheduler.router;
            router.finished(self.key, self.class, took);
            service.dispatch_due(now);
        }
        drop(state);
        let mut endpoints = self.node.endpoints.lock().expect("endpoints lock");
        endpoints.count_request(self.key, false);
    }
}

/// Admission and routing state of one service in the dump.
#[derive(Debug, Serialize)]
pub(super) struct ServiceDump {
    endpoints: Vec<routing::View<Key>>,
    prefix_entries: usize,
    decisions: Vec<routing::Choice<Key>>,
    admission: serde_json::Value,
    estimates: HashMap<Arc<str>, crate::admission::Estimate>,
}

/// Admission, routing and retry state in the dump.
#[derive(Debug, Serialize)]
pub(super) struct PolicyDump {
    seed: u64,
    services: HashMap<Arc<str>, ServiceDump>,
    retry_budgets: HashMap<Arc<str>, crate::retry::Budget>,
    shares: HashMap<Arc<str>, f64>,
}

impl Dispatch {
    /// Returns the state for the dump.
    pub(super) fn dump(&self, now: Millis) -> PolicyDump {
        let state = self.state.lock().expect("dispatch lock");
        let services = state.services.iter().map(|(name, service)| {
            let scheduler = &service.scheduler;
            let dump = ServiceDump {
                endpoints: scheduler.router.views().cloned().collect(),
                prefix_entries: scheduler.router.prefix_len(),
                decisions: scheduler.router.recent().copied().collect(),
                admission: serde_json::to_value(&scheduler.admission).unwrap_or_default(),
                estimates: scheduler
                    .estimates()
                    .map(|(k, v)| (Arc::clone(k), *v))
                    .collect(),
            };
            (Arc::clone(name), dump)
        });
        let budgets = state.retry.accounts();
        let shares = state.shares.iter();
        PolicyDump {
            seed: state.seed,
            services: services.collect(),
            retry_budgets: budgets.map(|(k, v)| (Arc::clone(k), *v)).collect(),
            shares: shares
                .map(|(k, v)| (Arc::clone(k), v.current(now)))
                .collect(),
        }
    }
}

/// Returns the hash of a name; the same at all nodes.
fn stable_id(name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}
