use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::entries::Position;
use crate::gateway::quota::Succession;
use crate::gateway::{GrantReport, Node, quota};
use crate::membership;
use crate::peer::Handler;

use super::merge::{apply_header, header};
use super::message::{
    Delta, EntryUpdate, Message, Progress, Report, Request, Response, Versions, decode, encode,
};
use super::speeds;

/// Maximum size of a configuration that nodes pass on to each other, in bytes. A larger one is read
/// from the store, to which the link has more bandwidth.
const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// Maximum number of endpoint entries in one message; each takes about 250 bytes.
const MAX_ENTRIES: usize = 256;

/// Responds to the messages of other nodes.
pub(in crate::gateway) struct Responder {
    node: Arc<Node>,
}

impl Responder {
    pub(in crate::gateway) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn exchange(&self, request: Request) -> Result<Bytes, Error> {
        let node = &self.node;
        let config = request.header.config;
        apply_header(node, request.header);
        node.merge_evacuations(request.evacuations);
        if !request.claims.is_empty() {
            let now = node.clock.now();
            node.state().roster.apply(request.claims, now);
        }
        // What follows is at least as new as the positions in the delta.
        let delta = request.have.map(|have| self.delta(have));
        let header = header(node, true);
        let outdated = config < header.config;
        encode(&Response {
            delta,
            document: outdated.then(|| config_document(node)).flatten(),
            header,
            evacuations: node.known_evacuations(),
        })
    }

    /// Returns the changes after the versions that the requester has.
    fn delta(&self, have: Versions) -> Delta {
        let node = &self.node;
        let have = if have.incarnation == node.incarnation {
            have
        } else {
            Versions::default()
        };
        let now = node.clock.now();
        let state = node.state();
        let (members_version, members) = state.roster.updates_since(have.members, now);
        let changes = state.changelog.changes_since(have.entries, MAX_ENTRIES);
        let endpoints = progress(&state.endpoints_position, now);
        let entries = changes.entries.into_iter().map(|(id, entry)| {
            let missing_for = state.fleet.missing_for(&id, now).unwrap_or_default();
            EntryUpdate::new(id, entry, missing_for)
        });
        Delta {
            versions: Versions {
                incarnation: node.incarnation,
                members: members_version,
                entries: changes.until,
            },
            members,
            entries: entries.collect(),
            entries_from: state.changelog.complete_from(),
            endpoints: endpoints.filter(|_| changes.is_complete),
            operator: progress(&state.operator_position, now),
        }
    }

    fn record_report(&self, report: Report) {
        let now = self.node.clock.now();
        let state = &mut *self.node.state();
        let (node, incarnation) = (report.node, report.incarnation);
        state.rollouts.merge(&node, incarnation, &report.rollouts);
        state.usage.merge(&node, incarnation, report.usage);
        state.lease.learn_totals(report.totals);
        state
            .demand_reports
            .record(node, incarnation, report.demand, now);
    }

    fn record_grants(&self, reports: Vec<GrantReport>) {
        let now = self.node.clock.now();
        let active = self.node.active.load();
        let config = active.as_ref().map(|active| &active.config);
        self.node.state().merge_grants(reports, config, now);
    }
}

#[async_trait]
impl Handler for Responder {
    async fn probe(
        &self,
        _: SocketAddr,
        _: membership::Message,
    ) -> Result<membership::Message, Error> {
        Err(Error::not_run(
            ErrorKind::Unavailable,
            "gateway nodes do not answer membership probes",
        ))
    }

    async fn gossip(&self, payload: Bytes) -> Result<Bytes, Error> {
        match decode(&payload)? {
            Message::Exchange(request) => self.exchange(*request),
            Message::Quota(request) => quota::respond(&self.node, &request, Succession::Preferred),
            Message::QuotaAfterLoss(request) => {
                quota::respond(&self.node, &request, Succession::AfterLoss)
            }
            Message::Speeds(request) => speeds::respond(&self.node, &request),
            Message::Report(report) => {
                self.record_report(report);
                encode(&())
            }
            Message::Grants(reports) => {
                self.record_grants(reports);
                encode(&())
            }
        }
    }
}

fn progress(position: &Position, now: Millis) -> Option<Progress> {
    Some(Progress {
        era: position.era,
        next: position.next?,
        age: position.age(now)?,
    })
}

/// Returns the configuration document, unless it is too large to be passed on.
fn config_document(node: &Node) -> Option<Vec<u8>> {
    let active = node.active.load();
    let document = &active.as_ref()?.document;
    (document.len() <= MAX_DOCUMENT_BYTES).then(|| document.to_vec())
}
