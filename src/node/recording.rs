use std::collections::HashSet;
use std::fs::File;
use std::sync::{Arc, Mutex};

use crate::clock::Millis;
use crate::config::Config;
use crate::endpoint::Host;
use crate::replay::{self, Account, Endpoint, Header, Line, Recorder};
use crate::routing;

use super::request::Request;

/// Trace of the requests to a node's model services.
#[derive(Debug)]
pub(super) struct Recording {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    recorder: Recorder<File>,
    started: Millis,
    header_written: bool,
    /// Accounts and endpoints whose line is written.
    written_names: HashSet<Arc<str>>,
}

impl Recording {
    pub(super) fn new(recorder: Recorder<File>, now: Millis) -> Self {
        Self {
            inner: Mutex::new(Inner {
                recorder,
                started: now,
                header_written: false,
                written_names: HashSet::new(),
            }),
        }
    }

    /// Writes the header if it is not written yet, and lines for new accounts.
    pub(super) fn configure(&self, config: &Config) {
        let mut inner = self.inner.lock().expect("recording lock");
        if !std::mem::replace(&mut inner.header_written, true) {
            let header = Header::new(Arc::clone(&config.deployment));
            inner.write(&Line::Header(header));
        }
        for account in &config.client_accounts {
            if inner.written_names.insert(Arc::clone(&account.name)) {
                inner.write(&Line::Account(Account {
                    name: Arc::clone(&account.name),
                    weight: account.weight,
                }));
            }
        }
    }

    /// Writes lines for new endpoints.
    pub(super) fn add_endpoints<'a, I>(&self, hosts: I)
    where
        I: Iterator<Item = &'a Host>,
    {
        let mut inner = self.inner.lock().expect("recording lock");
        if !inner.header_written {
            return;
        }
        for host in hosts {
            if inner.written_names.insert(Arc::clone(&host.host)) {
                inner.write(&Line::Endpoint(Endpoint {
                    name: Arc::clone(&host.host),
                    service: Arc::clone(&host.service),
                    domain: Arc::clone(&host.domain),
                    price: host.price,
                }));
            }
        }
    }

    /// Assigns a number to a request that arrives; [`Recording::finish`] writes its line.
    pub(super) fn begin(&self, request: &Request, prompt: &str, now: Millis) -> replay::Request {
        let blocks = routing::block_hashes(prompt);
        let mut inner = self.inner.lock().expect("recording lock");
        let (n, shared) = inner.recorder.record_arrival(&blocks);
        replay::Request {
            n,
            at_ms: now - inner.started,
            account: Arc::clone(&request.account),
            route: Arc::clone(&request.route.name),
            service: Arc::clone(&request.route.service),
            class: request.route.class,
            idempotent: request.route.idempotent,
            deadline_ms: request.deadline - now,
            prompt_tokens: routing::estimate_tokens(prompt),
            blocks: u32::try_from(blocks.len()).unwrap_or(u32::MAX),
            shared,
            output_tokens: None,
        }
    }

    /// Writes the line of a request that ended.
    pub(super) fn finish(&self, request: replay::Request) {
        let mut inner = self.inner.lock().expect("recording lock");
        inner.write(&Line::Request(request));
    }
}

impl Inner {
    /// Writes a line; a failure, such as a full disk, only counts in a metric and fails no request.
    fn write(&mut self, line: &Line) {
        if self.recorder.write_line(line).is_err() {
            metrics::counter!("almondpath_trace_write_failures_total").increment(1);
        }
    }
}
