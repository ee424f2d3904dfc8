use std::collections::HashMap;

use crate::admission::{Action, Reason, Ticket};
use crate::clock::Millis;
use crate::retry::{Backoff, Retry};
use crate::routing;
use crate::scheduler::{Arrival, Scheduler, Settings};

use super::{Options, Request, Trace};

/// Assumed `max_tokens` of every request, which traces do not record.
const ASSUMED_MAX_TOKENS: u32 = 1_024;

/// The admission, routing and retry state of one simulated node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) scheduler: Scheduler<usize>,
    pub(super) retry: Retry<usize>,
    /// Trace indices of the queued requests, by ticket id.
    pub(super) queued: HashMap<u64, usize>,
}

impl Node {
    /// Creates the node with this index, which also gives its random generators their seed.
    pub(super) fn new(trace: &Trace, options: &Options, index: usize) -> Self {
        let seed = options.seed.wrapping_mul(1_000) + index as u64;
        let mut scheduler = Scheduler::new(Settings {
            admission: options.admission,
            routing: routing::Settings {
                policy: options.policy,
                seed,
                prefill_ms: options.engine.prefill_us as f64 / 1_000.0,
                default_slots: options.engine.slots,
                ..routing::Settings::default()
            },
        });
        for account in &trace.accounts {
            scheduler
                .admission
                .configure(&account.name, account.weight, None);
        }
        Self {
            scheduler,
            retry: Retry::new(Backoff::default(), seed),
            queued: HashMap::new(),
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Fails with the reason when admission refuses the request.
    pub(super) fn enqueue(
        &mut self,
        index: usize,
        request: &Request,
        now: Millis,
    ) -> Result<Ticket, Reason> {
        let arrival = Arrival {
            account: &request.account,
            route: &request.route,
            class: request.class,
            prompt_tokens: request.prompt_tokens,
            max_tokens: ASSUMED_MAX_TOKENS,
            deadline: now + request.deadline_ms,
            share: 1.0,
        };
        let ticket = self.scheduler.enqueue(&arrival, now)?;
        self.queued.insert(ticket.id, index);
        Ok(ticket)
    }

    /// Returns the scheduler's next action, if one is due.
    pub(super) fn poll(&mut self, now: Millis) -> Option<Action> {
        self.scheduler.poll(now)
    }

    /// Reports to the scheduler that a request ended; `succeeded` holds the number of generated
    /// tokens and the service time.
    pub(super) fn finish(
        &mut self,
        ticket: &Option<Ticket>,
        request: &Request,
        succeeded: Option<(u32, Millis)>,
        now: Millis,
    ) {
        if let Some(ticket) = ticket {
            self.scheduler
                .finished(ticket, &request.route, succeeded, now);
        }
    }
}
