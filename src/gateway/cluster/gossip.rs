use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::changelog::Position;
use crate::gateway::node::State;
use crate::gateway::{Config, GrantReport, Node, quota};
use crate::membership;
use crate::peer::{Handle, Handler, Method};

use super::announcement::Announcement;
use super::message::{
    Answer, Changes, EntryNews, Grants, Head, Message, Progress, Question, Report, Since, decode,
    encode,
};
use super::roster::OWNERSHIP_DELAY;
use super::selector::{Target, View};

/// Time between two rounds with few nodes, and of a node that has just started.
const ROUND: Millis = Millis(250);

/// As [`ROUND`], with many nodes, so that the cost of those that are asked stays.
const ROUND_OF_MANY: Millis = Millis(600);

/// Time since its start within which a node makes short rounds, to hear of the others.
const JOINING: Millis = Millis(3_000);

/// Rounds after which the holder of the duties is told what began to run.
const REPORT_ROUNDS: u64 = 2;

/// Rounds after which the next owner of buckets is told what was granted.
const GRANT_ROUNDS: u64 = 2;

/// Largest configuration that is passed on between nodes, in bytes; a larger one is read from the
/// store, whose link is wider.
const MAX_DOCUMENT: usize = 64 * 1024;

/// Most entries of endpoints that are passed on at once; about 250 bytes each.
const MOST_ENTRIES: usize = 256;

/// What this node has of the news of others, and which of them it is asking now, by address.
#[derive(Default)]
struct Asked {
    since: HashMap<SocketAddr, Since>,
    /// Version of the members up to which a node was told this one's claims, and its incarnation.
    told: HashMap<SocketAddr, (u64, u64)>,
    busy: HashSet<SocketAddr>,
}

/// The rounds of a node.
struct Rounds {
    node: Arc<Node>,
    handle: Handle,
    asked: Mutex<Asked>,
}

/// Exchanges news with other nodes until the process ends.
///
/// # Errors
///
/// Never fails; nodes that do not answer are asked again.
pub(in crate::gateway) async fn run(node: Arc<Node>, handle: Handle) -> eyre::Result<()> {
    let rounds = Arc::new(Rounds {
        node,
        handle,
        asked: Mutex::default(),
    });
    let node = &rounds.node;
    let mut round = 0_u64;
    let mut holder = None;
    while !node.stopped.is_cancelled() {
        round += 1;
        rounds.ask_all();
        let present = rounds.holder();
        if present != holder || round.is_multiple_of(REPORT_ROUNDS) {
            rounds.report(present);
        }
        holder = present;
        if round.is_multiple_of(GRANT_ROUNDS) {
            rounds.tell_grants();
        }
        let leaving = node.leaving.is_cancelled();
        tokio::select! {
            () = sleep(pause(node).into()) => {}
            // The others have to know at once that no more requests are taken.
            () = node.leaving.cancelled(), if !leaving => {}
        }
    }
    Ok(())
}

fn pause(node: &Node) -> Millis {
    let joining = node.clock.now() - node.started < JOINING;
    if joining || node.state().roster.is_small() {
        ROUND
    } else {
        ROUND_OF_MANY
    }
}

impl Rounds {
    fn asked(&self) -> MutexGuard<'_, Asked> {
        // Each change leaves it usable, also when a later step panics.
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the nodes of one round.
    fn ask_all(self: &Arc<Self>) {
        for target in self.targets() {
            if !self.asked().busy.insert(target.peer) {
                continue;
            }
            let rounds = Arc::clone(self);
            tokio::spawn(async move {
                let outcome = rounds.exchange(&target).await;
                rounds.asked().busy.remove(&target.peer);
                if let Err(error) = outcome {
                    rounds.failed(&target, &error);
                }
            });
        }
    }

    fn targets(&self) -> Vec<Target> {
        let node = &self.node;
        let now = node.clock.now();
        let state = &mut *node.state();
        state.roster.tick(now);
        let readers = state.readers(&node.settings, now);
        let view = View {
            own: &node.settings.node,
            domain: &node.settings.domain,
            peer: node.settings.peer,
            roster: &state.roster,
            readers: &readers,
            known_nodes: &[],
            seeds: &node.settings.seeds,
        };
        let view = view.with_known_nodes(&state.known_nodes);
        state.selector.next(&view, now)
    }

    fn failed(&self, target: &Target, error: &Error) {
        let node = &self.node;
        metrics::counter!("almondpath_peer_failures_total").increment(1);
        slog::debug!(node.log, "node not reached"; "to" => %target.peer, "reason" => %error);
        if let Some(name) = &target.node {
            node.state().roster.failed(name, node.clock.now());
        }
    }

    async fn exchange(&self, target: &Target) -> Result<(), Error> {
        let node = &self.node;
        let (known, told) = {
            let asked = self.asked();
            let told = asked.told.get(&target.peer).copied();
            (asked.since.get(&target.peer).copied(), told)
        };
        let sent = node.clock.now();
        let (version, claims) = if target.news {
            let told = told.map_or(0, |(_, version)| version);
            node.state().roster.own_claims(told, sent)
        } else {
            Default::default()
        };
        let question = Question {
            head: head(node, false),
            since: target.news.then(|| known.unwrap_or_default()),
            claims,
        };
        let payload = encode(&Message::Exchange(Box::new(question)))?;
        let answer = self.handle.call_bytes(target.peer, Method::Gossip, payload);
        let answer: Answer = decode(&answer.await?)?;
        let config = answer.head.config;
        let run = answer.head.announcement.incarnation;
        if target.news {
            // Another run of the node has not heard of the claims before.
            let told = told.filter(|(known, _)| *known != run);
            let version = if told.is_some() { 0 } else { version };
            self.asked().told.insert(target.peer, (run, version));
        }
        hear(node, answer.head);
        if let Some(document) = answer.document {
            node.install(&Bytes::from(document), "node");
        }
        if let Some(changes) = answer.news {
            self.take_in(target.peer, changes, config, sent);
        }
        Ok(())
    }

    /// Takes in what changed at another node, whose configuration has this version; it answered after
    /// `sent`.
    fn take_in(&self, peer: SocketAddr, changes: Changes, config: u64, sent: Millis) {
        let node = &self.node;
        for news in changes.entries {
            let id = Arc::clone(&news.id);
            node.entry(&id, news.fate(), "node");
        }
        // A node that is behind takes the configuration before it counts as having read as far.
        let has_config = config <= node.config_version();
        let now = node.clock.now();
        let state = &mut *node.state();
        state.hear_grants(
            changes
                .members
                .iter()
                .map(|news| (&news.announcement, news.uptime)),
            node.active.load().as_ref().map(|active| &active.config),
            now,
        );
        state.roster.take_in(changes.members, now);
        state.update_remote_inflight(now);
        follow(&mut state.endpoints, sent, changes.endpoints);
        if has_config {
            follow(&mut state.operator, sent, changes.operator);
        }
        self.asked().since.insert(peer, changes.until);
    }

    /// Returns where the holder of the duties is, if it is another node.
    fn holder(&self) -> Option<SocketAddr> {
        let node = &self.node;
        let state = node.state();
        let holder = state.roster.holder(node.clock.now())?;
        Some(holder.announcement.peer)
    }

    /// Tells the holder of the duties what began to run, and what requests ask for. The holder tells
    /// those that may take its place, so that its own counts outlive it.
    fn report(self: &Arc<Self>, holder: Option<SocketAddr>) {
        let node = &self.node;
        let now = node.clock.now();
        let (report, readers) = {
            let state = node.state();
            let report = Report {
                node: Arc::clone(&node.settings.node),
                incarnation: node.incarnation,
                usage: state.usage.counts().clone(),
                demand: state.own_demand(now),
            };
            let readers = state.readers(&node.settings, now);
            let readers = readers.iter().filter_map(|name| state.roster.member(name));
            let readers: Vec<_> = readers.map(|member| member.announcement.peer).collect();
            (report, readers)
        };
        let to = holder.map_or(readers, |holder| vec![holder]);
        for to in to {
            self.tell(to, Message::Report(report.clone()), "report");
        }
    }

    /// Tells the next owners of buckets what this node granted as their owner.
    fn tell_grants(self: &Arc<Self>) {
        let node = &self.node;
        let now = node.clock.now();
        let uptime = now - node.started;
        let mut next: HashMap<SocketAddr, Vec<(Arc<str>, u64)>> = HashMap::new();
        {
            let state = node.state();
            for (account, units) in state.quotas.granted_as_owner(now) {
                let owners = state.roster.owners(uptime, account, now, 2);
                let others = owners.into_iter().flatten();
                for owner in others {
                    let told = next.entry(owner).or_default();
                    told.push((Arc::clone(account), units as u64));
                }
            }
        }
        for (to, granted) in next {
            let grants = Grants {
                node: Arc::clone(&node.settings.node),
                incarnation: node.incarnation,
                uptime,
                granted,
            };
            self.tell(to, Message::Grants(grants), "grants");
        }
    }

    /// Sends a message to which there is no answer; the next one replaces it if it is lost.
    fn tell(self: &Arc<Self>, to: SocketAddr, message: Message, what: &'static str) {
        let rounds = Arc::clone(self);
        tokio::spawn(async move {
            let told = async {
                let payload = encode(&message)?;
                rounds.handle.call_bytes(to, Method::Gossip, payload).await
            };
            if let Err(error) = told.await {
                slog::debug!(rounds.node.log, "node not told"; "to" => %to, "what" => what,
                    "reason" => %error);
            }
        });
    }
}

/// Returns what this node says of itself, in an answer or in a question.
fn head(node: &Node, answers: bool) -> Head {
    let announcement = node.announcement();
    let now = node.clock.now();
    let wall = if answers {
        node.wall()
    } else {
        node.clock.wall()
    };
    Head {
        announcement,
        uptime: now - node.started,
        wall,
        config: node.config_version(),
    }
}

/// Takes in what another node said of itself.
fn hear(node: &Node, head: Head) {
    let now = node.clock.now();
    let active = node.active.load();
    let config = active.as_ref().map(|active| &active.config);
    let state = &mut *node.state();
    state.clocks.record(&head.announcement.node, head.wall, now);
    state.newest_config = state.newest_config.max(head.config);
    state.hear_grants([(&head.announcement, head.uptime)], config, now);
    if state.roster.contact(head.announcement, head.uptime, now) {
        state.selector.note_recovery();
    }
    state.update_remote_inflight(now);
}

/// Takes over how far another node has read, after its news were taken in; it answered after `sent`.
fn follow(position: &mut Position, sent: Millis, progress: Option<Progress>) {
    if let Some(Progress { next, age }) = progress {
        position.follow(next, sent - age);
    }
}

fn progress(position: &Position, now: Millis) -> Option<Progress> {
    Some(Progress {
        next: position.next?,
        age: position.age(now)?,
    })
}

/// Returns the configuration for a node that is behind, unless it is too large.
fn document(node: &Node) -> Option<Vec<u8>> {
    let active = node.active.load();
    let document = &active.as_ref()?.document;
    (document.len() <= MAX_DOCUMENT).then(|| document.to_vec())
}

impl State {
    /// Takes in what nodes that have just started granted.
    fn hear_grants<'a, I>(&mut self, announcements: I, config: Option<&Config>, now: Millis)
    where
        I: IntoIterator<Item = (&'a Announcement, Millis)>,
    {
        for (announcement, uptime) in announcements {
            self.take_in_grants(
                (&announcement.node, announcement.incarnation),
                uptime,
                &announcement.granted,
                config,
                now,
            );
        }
    }

    /// Takes in what a node granted, by its name and incarnation.
    fn take_in_grants(
        &mut self,
        (node, incarnation): (&Arc<str>, u64),
        uptime: Millis,
        granted: &[(Arc<str>, u64)],
        config: Option<&Config>,
        now: Millis,
    ) {
        for (name, units) in granted {
            let account = config.and_then(|config| config.account_by_name(name));
            let quota = account.and_then(|account| account.quota.as_ref());
            let granted = GrantReport {
                node,
                incarnation,
                recently_started: uptime < OWNERSHIP_DELAY,
                units: *units,
            };
            self.quotas.merge(&granted, name, quota, now);
        }
    }

    /// Adds up what the other nodes have at each endpoint.
    fn update_remote_inflight(&mut self, now: Millis) {
        if !self.roster.is_small() {
            return;
        }
        let mut sums: HashMap<&str, (u32, u64)> = HashMap::new();
        for inflight in self
            .roster
            .alive(now)
            .flat_map(|m| &m.announcement.inflight)
        {
            let sum = sums.entry(&inflight.endpoint).or_default();
            sum.0 += inflight.requests;
            sum.1 += inflight.tokens;
        }
        for (_, endpoint) in self.fleet.iter_mut() {
            let sum = sums.get(&*endpoint.registration.identity.id);
            let (requests, tokens) = sum.copied().unwrap_or_default();
            endpoint.remote_inflight = requests;
            endpoint.remote_pending_tokens = tokens;
        }
    }
}

/// Answers other nodes.
pub(in crate::gateway) struct Responder {
    node: Arc<Node>,
}

impl Responder {
    pub(in crate::gateway) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn exchange(&self, question: Question) -> Result<Bytes, Error> {
        let node = &self.node;
        let config = question.head.config;
        hear(node, question.head);
        if !question.claims.is_empty() {
            let now = node.clock.now();
            node.state().roster.take_in(question.claims, now);
        }
        let head = head(node, true);
        let behind = config < head.config;
        encode(&Answer {
            news: question.since.map(|since| self.changes(since)),
            document: behind.then(|| document(node)).flatten(),
            head,
        })
    }

    /// Returns what changed after what the asker has.
    fn changes(&self, since: Since) -> Changes {
        let node = &self.node;
        let since = if since.incarnation == node.incarnation {
            since
        } else {
            Since::default()
        };
        let now = node.clock.now();
        let state = node.state();
        let (members_until, members) = state.roster.news(since.members, now);
        let (entries_until, entries, complete) = state.changelog.since(since.entries, MOST_ENTRIES);
        let endpoints = progress(&state.endpoints, now);
        Changes {
            until: Since {
                incarnation: node.incarnation,
                members: members_until,
                entries: entries_until,
            },
            members,
            entries: entries.into_iter().map(EntryNews::new).collect(),
            endpoints: endpoints.filter(|_| complete),
            operator: progress(&state.operator, now),
        }
    }

    fn reported(&self, report: Report) {
        let now = self.node.clock.now();
        let state = &mut *self.node.state();
        let (node, incarnation) = (report.node, report.incarnation);
        state.usage.merge(&node, incarnation, report.usage);
        state.reports.record(node, incarnation, report.demand, now);
    }

    fn granted(&self, grants: &Grants) {
        let now = self.node.clock.now();
        let active = self.node.active.load();
        let config = active.as_ref().map(|active| &active.config);
        let run = (&grants.node, grants.incarnation);
        let state = &mut *self.node.state();
        state.take_in_grants(run, grants.uptime, &grants.granted, config, now);
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
            "this node is a gateway",
        ))
    }

    async fn gossip(&self, payload: Bytes) -> Result<Bytes, Error> {
        match decode(&payload)? {
            Message::Exchange(question) => self.exchange(*question),
            Message::Quota(ask) => quota::respond(&self.node, &ask),
            Message::Report(report) => {
                self.reported(report);
                encode(&())
            }
            Message::Grants(grants) => {
                self.granted(&grants);
                encode(&())
            }
        }
    }
}
