use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::gateway::state::State;
use crate::gateway::{Config, Grant, GrantReport, Node, Run, Slot};

use super::announcement::Announcement;
use super::message::Header;
use super::phase::OWNERSHIP_DELAY;

/// Returns the header of a request or response of this node.
pub(super) fn header(node: &Node, is_response: bool) -> Header {
    let announcement = node.announcement();
    let now = node.clock.now();
    let wall = if is_response {
        node.wall_time()
    } else {
        node.clock.wall()
    };
    Header {
        announcement,
        uptime: now - node.started,
        wall,
        config: node.config_version(),
    }
}

/// Applies the header of another node's request or response.
pub(super) fn apply_header(node: &Node, header: Header) {
    node.merge_rollouts(&header.announcement);
    let now = node.clock.now();
    let active = node.active.load();
    let config = active.as_ref().map(|active| &active.config);
    let wall = node.wall_time();
    let state = &mut *node.state();
    state.quarantine.merge(&header.announcement.evidence, wall);
    state
        .clocks
        .record(&header.announcement.node, header.wall, now);
    state.latest_config_version = state.latest_config_version.max(header.config);
    state.merge_announced_grants([(&header.announcement, header.uptime)], config, now);
    if state
        .roster
        .record_contact(header.announcement, header.uptime, now)
    {
        state.selector.record_recovery();
    }
    state.update_remote_inflight(now);
}

impl Node {
    /// Adopts what another node knows of rollouts.
    pub(super) fn merge_rollouts(&self, announcement: &Announcement) {
        if announcement.rollouts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let new = {
            let state = &mut *self.state();
            let (nodes, _) = state.roster.count_serving(now);
            let running_since = Millis(self.incarnation);
            state
                .rollouts
                .merge_progress(&announcement.rollouts, nodes, running_since)
        };
        for progress in new {
            self.log_rollout(&progress, "node");
        }
    }
}

impl State {
    /// Merges the grants that nodes which have just started announced.
    pub(super) fn merge_announced_grants<'a, I>(
        &mut self,
        announcements: I,
        config: Option<&Config>,
        now: Millis,
    ) where
        I: IntoIterator<Item = (&'a Announcement, Millis)>,
    {
        for (announcement, uptime) in announcements {
            let run = Run {
                node: Arc::clone(&announcement.node),
                incarnation: announcement.incarnation,
            };
            let has_just_started = uptime < OWNERSHIP_DELAY;
            let reports = announcement.granted.iter().map(|(account, units)| {
                let slot = Slot {
                    age: Millis::ZERO,
                    units: *units,
                };
                let grant = Grant {
                    run: run.clone(),
                    units: *units,
                    recent: has_just_started.then_some(slot).into_iter().collect(),
                };
                GrantReport {
                    account: Arc::clone(account),
                    level: None,
                    grants: vec![grant],
                }
            });
            self.merge_grants(reports, config, now);
        }
    }

    /// Merges reports of grants to accounts.
    pub(super) fn merge_grants<I>(&mut self, reports: I, config: Option<&Config>, now: Millis)
    where
        I: IntoIterator<Item = GrantReport>,
    {
        for report in reports {
            let account = config.and_then(|config| config.account_by_name(&report.account));
            let quota = account.and_then(|account| account.quota.as_ref());
            self.quotas.merge(&report, quota, now);
        }
    }

    /// Sums up the requests that the other nodes have in flight at each endpoint.
    pub(super) fn update_remote_inflight(&mut self, now: Millis) {
        self.fleet.inflight_announced = self.roster.is_small();
        if !self.fleet.inflight_announced {
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
