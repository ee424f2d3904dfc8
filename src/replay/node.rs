use std::collections::HashMap;
use std::sync::Arc;

use crate::admission::{Admission, Estimate, Poll, Reason, Room, Ticket};
use crate::clock::Millis;
use crate::config::Class;
use crate::retry::{Backoff, Retry};
use crate::routing::{Router, Settings};

use super::{Options, Request, Trace};

/// Generated tokens assumed of a route until some of its requests have finished.
const DEFAULT_TOKENS: u32 = 256;

/// The policy state of one node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) router: Router<usize>,
    pub(super) admission: Admission,
    pub(super) retry: Retry<usize>,
    estimates: HashMap<Arc<str>, Estimate>,
}

impl Node {
    pub(super) fn new(trace: &Trace, options: &Options, number: usize) -> Self {
        let seed = options.seed.wrapping_mul(1_000) + number as u64;
        let mut admission = Admission::new(options.admission);
        for account in &trace.accounts {
            admission.configure(&account.name, account.weight, None);
        }
        Self {
            router: Router::new(Settings {
                policy: options.policy,
                seed,
                prefill_ms: options.engine.prefill_us as f64 / 1_000.0,
                default_slots: options.engine.slots,
                ..Settings::default()
            }),
            admission,
            retry: Retry::new(Backoff::default(), seed),
            estimates: HashMap::new(),
        }
    }

    pub(super) fn ticket(&self, id: usize, request: &Request, deadline: Millis) -> Ticket {
        let estimate = self
            .estimates
            .get(&request.route)
            .copied()
            .unwrap_or_default();
        Ticket {
            id: id as u64,
            account: Arc::clone(&request.account),
            class: request.class,
            cost: f64::from(request.prompt_tokens) + estimate.tokens(DEFAULT_TOKENS),
            expected: estimate.service(),
            deadline,
        }
    }

    pub(super) fn offer(&mut self, ticket: Ticket, now: Millis) -> Result<(), Reason> {
        self.admission.offer(ticket, 1.0, now)
    }

    pub(super) fn poll(&mut self, now: Millis) -> Option<Poll> {
        let room = Room {
            any: self.router.room(Class::Interactive, now),
            long: self.router.room(Class::Long, now),
        };
        self.admission.poll(room, now)
    }

    pub(super) fn sample(&mut self, route: &Arc<str>, tokens: u32, took: Millis) {
        let estimate = self.estimates.entry(Arc::clone(route)).or_default();
        estimate.sample(tokens, took);
    }
}
