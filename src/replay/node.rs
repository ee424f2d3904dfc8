use std::collections::HashMap;

use crate::admission::{Action, Reason, Ticket};
use crate::clock::Millis;
use crate::retry::{Backoff, Retry};
use crate::routing;
use crate::scheduler::{Arrival, Scheduler, Settings};

use super::{Options, Request, Trace};

/// Most tokens that a request asks for; traces don't record it.
const MAX_TOKENS: u32 = 1_024;

/// The policy state of one node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) scheduler: Scheduler<usize>,
    pub(super) retry: Retry<usize>,
    /// Requests of the trace by the numbers of their tickets.
    pub(super) waiting: HashMap<u64, usize>,
}

impl Node {
    pub(super) fn new(trace: &Trace, options: &Options, number: usize) -> Self {
        let seed = options.seed.wrapping_mul(1_000) + number as u64;
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
            waiting: HashMap::new(),
        }
    }

    pub(super) fn offer(
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
            max_tokens: MAX_TOKENS,
            deadline: now + request.deadline_ms,
            share: 1.0,
        };
        let ticket = self.scheduler.enqueue(&arrival, now)?;
        self.waiting.insert(ticket.id, index);
        Ok(ticket)
    }

    pub(super) fn poll(&mut self, now: Millis) -> Option<Action> {
        self.scheduler.poll(now)
    }

    pub(super) fn ended(
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
