use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use serde::Serialize;

use crate::admission::{self, Action, Admission, Capacity, Estimate, Reason, Ticket};
use crate::clock::Millis;
use crate::config::Class;
use crate::routing::{self, Router};

/// Constants of a [`Scheduler`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct Settings {
    /// Constants of admission.
    pub admission: admission::Settings,
    /// Constants of routing.
    pub routing: routing::Settings,
}

/// A request that arrives.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Client account.
    pub account: &'a Arc<str>,
    /// Route.
    pub route: &'a Arc<str>,
    /// Scheduling class of the route.
    pub class: Class,
    /// Estimated tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u32,
    /// Most tokens to generate; 0 for plain services.
    pub max_tokens: u32,
    /// When it has to be finished.
    pub deadline: Millis,
    /// This node's share of the account's limit.
    pub share: f64,
}

/// The queues and the router of one service.
#[derive(Debug)]
pub struct Scheduler<K> {
    /// Chooses endpoints.
    pub router: Router<K>,
    /// Chooses requests.
    pub admission: Admission,
    estimates: HashMap<Arc<str>, Estimate>,
    next: u64,
    /// Admitted requests that have not ended, interactive and long.
    admitted: [u32; 2],
}

impl<K> Scheduler<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates a scheduler without endpoints and accounts.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            router: Router::new(settings.routing),
            admission: Admission::new(settings.admission),
            estimates: HashMap::new(),
            next: 0,
            admitted: [0; 2],
        }
    }

    /// Queues a request and returns its ticket.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the request is refused at once.
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
            id: self.next,
            account: Arc::clone(arrival.account),
            class: arrival.class,
            cost,
            expected,
            deadline: arrival.deadline,
        };
        self.next += 1;
        self.admission.enqueue(ticket.clone(), arrival.share, now)?;
        Ok(ticket)
    }

    /// Returns the next request to dispatch or to refuse; none when none fits.
    pub fn poll(&mut self, now: Millis) -> Option<Action> {
        if self.admission.queued() == 0 {
            return None;
        }
        let poll = self.admission.poll(self.free_capacity(now), now)?;
        if let Action::Dispatch(ticket) = &poll {
            self.admitted[ticket.class as usize] += 1;
        }
        Some(poll)
    }

    /// Records that an admitted request has ended, with the generated tokens and the time since
    /// its dispatch when it succeeded.
    pub fn finished(
        &mut self,
        ticket: &Ticket,
        route: &Arc<str>,
        succeeded: Option<(u32, Millis)>,
        now: Millis,
    ) {
        let admitted = &mut self.admitted[ticket.class as usize];
        *admitted = admitted.saturating_sub(1);
        self.admission.finished(&ticket.account, ticket.cost, now);
        if let Some((tokens, took)) = succeeded {
            let estimate = self.estimates.entry(Arc::clone(route)).or_default();
            estimate.record(tokens, took);
        }
    }

    /// Returns this node's part of the room of the endpoints, less what was admitted and is not
    /// yet at one of them.
    ///
    /// Nodes learn of each other's dispatches by the next load report only. If each took all
    /// free slots at once, they would overfill the endpoints as many times as there are nodes,
    /// so each takes the part that it has of the requests in flight.
    fn free_capacity(&self, now: Millis) -> Capacity {
        let placed = self.router.in_flight();
        let own = f64::from(placed[0] + placed[1]) + 1.0;
        let part = own / (own + self.router.remote_in_flight());
        let scaled = |room: u32| (f64::from(room) * part).ceil() as u32;
        let reserved =
            |class: Class| self.admitted[class as usize].saturating_sub(placed[class as usize]);
        let [interactive, long] = [reserved(Class::Interactive), reserved(Class::Long)];
        let any = scaled(self.router.free_slots(Class::Interactive, now));
        Capacity {
            any: any.saturating_sub(interactive + long),
            long: scaled(self.router.free_slots(Class::Long, now)).saturating_sub(long),
            slots: scaled(self.router.slots()),
        }
    }

    /// Returns the estimates per route, for the dump.
    pub fn estimates(&self) -> impl Iterator<Item = (&Arc<str>, &Estimate)> {
        self.estimates.iter()
    }
}
