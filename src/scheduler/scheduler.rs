use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use serde::Serialize;

use crate::admission::{self, Action, Admission, Capacity, Estimate, Reason, Ticket};
use crate::clock::Millis;
use crate::config::Class;
use crate::routing::{self, Router};

/// Settings of a [`Scheduler`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct Settings {
    /// Settings of admission.
    pub admission: admission::Settings,
    /// Settings of routing.
    pub routing: routing::Settings,
}

/// A request to enqueue.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Client account.
    pub account: &'a Arc<str>,
    /// Route.
    pub route: &'a Arc<str>,
    /// Scheduling class of the route.
    pub class: Class,
    /// Estimated number of prompt tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 for plain services.
    pub max_tokens: u32,
    /// Time by which the response has to be finished.
    pub deadline: Millis,
    /// This node's share of the account's rate limit.
    pub share: f64,
}

/// The admission queues and the router of one service.
#[derive(Debug)]
pub struct Scheduler<K> {
    /// Chooses the endpoint of a request.
    pub router: Router<K>,
    /// Chooses the request to dispatch next.
    pub admission: Admission,
    estimates: HashMap<Arc<str>, Estimate>,
    next_id: u64,
    /// Dispatched requests that have not finished, interactive and long.
    dispatched: [u32; 2],
}

impl<K> Scheduler<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates a scheduler without endpoints or accounts.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            router: Router::new(settings.routing),
            admission: Admission::new(settings.admission),
            estimates: HashMap::new(),
            next_id: 0,
            dispatched: [0; 2],
        }
    }

    /// Queues a request and returns its ticket.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the request is refused at once.
    pub fn enqueue(&mut self, arrival: &Arrival<'_>, now: Millis) -> Result<Ticket, Reason> {
        let estimate = self
            .estimates
            .get(arrival.route)
            .copied()
            .unwrap_or_default();
        let expected = estimate.service_time();
        let model = arrival.max_tokens > 0;
        let cost = if model {
            f64::from(arrival.prompt_tokens) + estimate.expected_tokens(arrival.max_tokens)
        } else {
            expected.as_f64().max(1.0)
        };
        let ticket = Ticket {
            id: self.next_id,
            account: Arc::clone(arrival.account),
            class: arrival.class,
            cost,
            expected,
            deadline: arrival.deadline,
        };
        self.next_id += 1;
        self.admission.enqueue(ticket.clone(), arrival.share, now)?;
        Ok(ticket)
    }

    /// Returns the next request to dispatch or to refuse, or `None` if the free capacity fits none.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        if self.admission.queued() == 0 {
            return None;
        }
        let action = self.admission.poll(self.free_capacity(now), now)?;
        if let Action::Dispatch(ticket) = &action {
            self.dispatched[ticket.class as usize] += 1;
        }
        Some(action)
    }

    /// Records that a dispatched request has finished; if it succeeded, `succeeded` holds its
    /// generated tokens and the time since its dispatch.
    pub fn finished(
        &mut self,
        ticket: &Ticket,
        route: &Arc<str>,
        succeeded: Option<(u32, Millis)>,
        now: Millis,
    ) {
        let dispatched = &mut self.dispatched[ticket.class as usize];
        *dispatched = dispatched.saturating_sub(1);
        self.admission.finished(&ticket.account, ticket.cost, now);
        if let Some((tokens, took)) = succeeded {
            let estimate = self.estimates.entry(Arc::clone(route)).or_default();
            estimate.record(tokens, took);
        }
    }

    /// Returns this node's fraction of the endpoints' free capacity, less the dispatched requests
    /// that have not reached an endpoint yet.
    ///
    /// Nodes learn about each other's dispatches only from the next load report. If each node used
    /// all free slots at once, they would overload the endpoints by a factor of the number of
    /// nodes. Each node therefore uses the same fraction of them as it has of the requests in
    /// flight.
    fn free_capacity(&self, now: Millis) -> Capacity {
        let in_flight = self.router.in_flight();
        let own = f64::from(in_flight[0] + in_flight[1]) + 1.0;
        let fraction = own / (own + self.router.remote_in_flight());
        let scaled = |slots: u32| (f64::from(slots) * fraction).ceil() as u32;
        let reserved = |class: Class| {
            self.dispatched[class as usize].saturating_sub(in_flight[class as usize])
        };
        let [interactive, long] = [reserved(Class::Interactive), reserved(Class::Long)];
        let any = scaled(self.router.free_slots(Class::Interactive, now));
        Capacity {
            any: any.saturating_sub(interactive + long),
            long: scaled(self.router.free_slots(Class::Long, now)).saturating_sub(long),
            slots: scaled(self.router.slots()),
        }
    }

    /// Returns the estimates per route, for the state dump.
    pub fn estimates(&self) -> impl Iterator<Item = (&Arc<str>, &Estimate)> {
        self.estimates.iter()
    }
}
