use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

use crate::clock::Millis;

use super::crash::{Crash, Evidence, Quarantined, Success};

/// Evidence against a segment that is enough to quarantine it.
struct Required {
    /// Number of different requests with the segment that crashed.
    requests: usize,
    /// Number of endpoints that they crashed.
    endpoints: usize,
    /// Share of all crashed endpoints since the first of them.
    share: f64,
}

/// Any of these is enough. The second one is for requests that are rare and sent again often.
const REQUIRED: [Required; 2] = [
    Required {
        requests: 3,
        endpoints: 3,
        share: MIN_CRASH_SHARE,
    },
    Required {
        requests: 2,
        endpoints: 5,
        share: 0.95,
    },
];

/// Number of different requests that must have crashed for a segment to be suspected.
const MIN_SUSPECT_REQUESTS: usize = 2;

/// Share of all crashed endpoints, since its first crash, that requests with the segment must have
/// crashed: other requests at the endpoints had many different segments.
const MIN_CRASH_SHARE: f64 = 0.6;

/// A crash says nothing about segments with a success this short a time before it, or any time
/// after it: when many endpoints crash at once, segments in wide use are in all of the crashes.
const SUCCESS_PERIOD: Millis = Millis(2_000);

/// Time for which a crash counts.
const CRASH_RETENTION: Millis = Millis::from_secs(60);

/// Duration of a quarantine; requests with the segment are not tried in the meantime.
const DURATION: Millis = Millis::from_secs(600);

/// Time for which a node announces its crashes to the others, which then remember them.
const ANNOUNCEMENT_PERIOD: Millis = Millis::from_secs(10);

/// Maximum number of crashes in one announcement.
const MAX_ANNOUNCED_CRASHES: usize = 16;

/// Maximum number of successes in one announcement. Fewer segments than that can have
/// [`MIN_CRASH_SHARE`] of the crashes, and be quarantined unless a success is known.
const MAX_ANNOUNCED_SUCCESSES: usize = 64;

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;

/// Maximum number of segments whose successes are remembered.
const MAX_SUCCESSES: usize = 4_096;

/// Maximum number of segments in quarantine.
const MAX_QUARANTINED: usize = 64;

/// Maximum number of shared segments of a request that are considered.
const MAX_SEGMENTS: usize = 8;

/// A segment that is quarantined from now on, with the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The segment.
    pub segment: u64,
    /// Number of endpoints that requests with it crashed.
    pub endpoints: usize,
    /// Number of requests that crashed.
    pub requests: usize,
}

/// The part of a segment in the crashes that speak against it.
struct Involvement {
    /// Number of endpoints that requests with it crashed.
    endpoints: usize,
    /// Number of requests that crashed.
    requests: usize,
    /// Share of these among all endpoints that crashed since the first of them.
    share: f64,
    /// When a second request crashed.
    suspected_at: Option<Millis>,
}

/// Finds and refuses prompt segments that crash endpoints. Times are wall times of the cluster.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Crashes of all nodes.
    crashes: Vec<Crash>,
    /// Crashes that this node has seen itself.
    own_crashes: Vec<Crash>,
    /// Latest success of each segment at this node.
    own_successes: HashMap<u64, Millis>,
    /// Latest success of each suspected segment at other nodes.
    successes: HashMap<u64, Millis>,
    quarantined: BTreeMap<u64, Millis>,
}

/// Observations.
impl Quarantine {
    /// Records that the first event of a request with these shared segments arrived.
    pub fn record_success<I>(&mut self, segments: I, now: Millis)
    where
        I: IntoIterator<Item = u64>,
    {
        for segment in segments.into_iter().take(MAX_SEGMENTS) {
            record_latest(&mut self.own_successes, segment, now);
        }
    }

    /// Records that a request was broken off at an endpoint before its first event.
    pub fn record_crash(&mut self, mut crash: Crash) {
        crash.segments.truncate(MAX_SEGMENTS);
        if crash.segments.is_empty() || !self.insert(crash.clone()) {
            return;
        }
        self.own_crashes.push(crash);
        if self.own_crashes.len() > MAX_ANNOUNCED_CRASHES {
            self.own_crashes.remove(0);
        }
    }

    fn insert(&mut self, crash: Crash) -> bool {
        let same =
            |known: &Crash| (known.endpoint, known.request) == (crash.endpoint, crash.request);
        if self.crashes.iter().any(same) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }
}

/// Records a time unless a later one is known; forgets the older half when there are too many.
fn record_latest(times: &mut HashMap<u64, Millis>, segment: u64, at: Millis) {
    let latest = times.entry(segment).or_insert(at);
    *latest = at.max(*latest);
    if times.len() > MAX_SUCCESSES {
        let mut all: Vec<Millis> = times.values().copied().collect();
        all.sort_unstable();
        let median = all[all.len() / 2];
        times.retain(|_, at| *at > median);
    }
}

/// Exchange with other nodes.
impl Quarantine {
    /// Returns what the other nodes have to know.
    #[must_use]
    pub fn evidence(&self, now: Millis) -> Evidence {
        let own = self.own_crashes.iter();
        let recent = own.filter(|crash| crash.at + ANNOUNCEMENT_PERIOD > now);
        let quarantined = self.quarantined.iter();
        let quarantined = quarantined.map(|(segment, until)| Quarantined {
            segment: *segment,
            until: *until,
        });
        Evidence {
            crashes: recent.cloned().collect(),
            successes: self.announced_successes(),
            quarantined: quarantined.collect(),
        }
    }

    /// Returns the successes with suspected segments, those first that the crashes speak against most.
    fn announced_successes(&self) -> Vec<Success> {
        let suspects = self.suspects().into_iter();
        let successes = suspects.filter_map(|segment| {
            let at = *self.own_successes.get(&segment)?;
            Some(Success { segment, at })
        });
        let mut successes: Vec<Success> = successes.collect();
        if successes.len() > MAX_ANNOUNCED_SUCCESSES {
            successes.sort_by_cached_key(|success| Reverse(self.crash_percentage(success.segment)));
            successes.truncate(MAX_ANNOUNCED_SUCCESSES);
        }
        successes
    }

    /// Returns the percentage of the endpoints that crashed since the segment's first crash which
    /// requests with the segment crashed.
    fn crash_percentage(&self, segment: u64) -> usize {
        let has_segment = |crash: &&Crash| crash.segments.contains(&segment);
        let with_segment = || self.crashes.iter().filter(has_segment);
        let Some(first) = with_segment().map(|crash| crash.at).min() else {
            return 0;
        };
        let since = self.crashes.iter().filter(|crash| crash.at >= first);
        let all: HashSet<u64> = since.map(|crash| crash.endpoint).collect();
        let crashed: HashSet<u64> = with_segment().map(|crash| crash.endpoint).collect();
        crashed.len() * 100 / all.len().max(1)
    }

    /// Merges what another node announced.
    pub fn merge(&mut self, evidence: &Evidence, now: Millis) {
        for crash in &evidence.crashes {
            let is_recent = crash.at + CRASH_RETENTION > now;
            if is_recent && crash.segments.len() <= MAX_SEGMENTS {
                self.insert(crash.clone());
            }
        }
        for success in &evidence.successes {
            record_latest(&mut self.successes, success.segment, success.at);
        }
        for Quarantined { segment, until } in &evidence.quarantined {
            if *until > now && self.quarantined.len() < MAX_QUARANTINED {
                let known = self.quarantined.entry(*segment).or_insert(*until);
                *known = (*known).max(*until).min(now + DURATION);
            }
        }
    }

    /// Returns the segments that at least two requests that crashed have in common, in order.
    fn suspects(&self) -> Vec<u64> {
        let mut requests: BTreeMap<u64, HashSet<u64>> = BTreeMap::new();
        for crash in &self.crashes {
            for segment in &crash.segments {
                requests.entry(*segment).or_default().insert(crash.request);
            }
        }
        let suspects = requests
            .into_iter()
            .filter(|(_, all)| all.len() >= MIN_SUSPECT_REQUESTS);
        suspects.map(|(segment, _)| segment).collect()
    }
}

/// Decisions.
impl Quarantine {
    /// Returns the time for which requests with any of these segments are refused.
    #[must_use]
    pub fn refused_for<I>(&self, segments: I, now: Millis) -> Option<Millis>
    where
        I: IntoIterator<Item = u64>,
    {
        if self.quarantined.is_empty() {
            return None;
        }
        let untils = segments
            .into_iter()
            .filter_map(|s| self.quarantined.get(&s));
        let until = untils.max().filter(|until| **until > now)?;
        Some(*until - now)
    }

    /// Returns whether a request with these shared segments must not be sent again: it crashed an
    /// endpoint, as did another request with one of its segments, which is common to most crashes.
    #[must_use]
    pub fn is_suspected<I>(&self, request: u64, segments: I) -> bool
    where
        I: IntoIterator<Item = u64>,
    {
        if !self.crashes.iter().any(|crash| crash.request == request) {
            return false;
        }
        let mut segments = segments.into_iter().take(MAX_SEGMENTS);
        segments.any(|segment| {
            let involvement = self.involvement(segment);
            involvement.is_some_and(|i| i.share >= MIN_CRASH_SHARE && i.suspected_at.is_some())
        })
    }

    /// Quarantines the segments that crash endpoints, and forgets what is too old to matter.
    ///
    /// A segment stays allowed for `objection_time` after it became suspected, in which the other nodes
    /// learn of the suspicion and report their successes.
    pub fn review(&mut self, now: Millis, objection_time: Millis) -> Vec<Finding> {
        self.forget(now);
        let suspects = self.suspects().into_iter();
        let findings: Vec<Finding> = suspects
            .filter(|segment| !self.quarantined.contains_key(segment))
            .filter_map(|segment| self.judge(segment, now, objection_time))
            .collect();
        for finding in &findings {
            if self.quarantined.len() < MAX_QUARANTINED {
                self.quarantined.insert(finding.segment, now + DURATION);
            }
        }
        findings
    }

    fn judge(&self, segment: u64, now: Millis, objection_time: Millis) -> Option<Finding> {
        let involvement = self.involvement(segment)?;
        let Involvement {
            endpoints,
            requests,
            ..
        } = involvement;
        if involvement.suspected_at? + objection_time > now {
            return None;
        }
        let is_enough = |required: &Required| {
            requests >= required.requests
                && endpoints >= required.endpoints
                && involvement.share >= required.share
        };
        REQUIRED.iter().any(is_enough).then_some(Finding {
            segment,
            endpoints,
            requests,
        })
    }

    /// Returns the part of a segment in the crashes, if it has any.
    fn involvement(&self, segment: u64) -> Option<Involvement> {
        let mut involved: Vec<&Crash> = self.counted(segment).collect();
        involved.sort_unstable_by_key(|crash| crash.at);
        let first = *involved.first()?;
        let second = involved.iter().find(|c| c.request != first.request);
        let since = self.crashes.iter().filter(|crash| crash.at >= first.at);
        let all: HashSet<u64> = since.map(|crash| crash.endpoint).collect();
        let endpoints: HashSet<u64> = involved.iter().map(|crash| crash.endpoint).collect();
        let requests: HashSet<u64> = involved.iter().map(|crash| crash.request).collect();
        Some(Involvement {
            endpoints: endpoints.len(),
            requests: requests.len(),
            share: endpoints.len() as f64 / all.len().max(1) as f64,
            suspected_at: second.map(|crash| crash.at),
        })
    }

    /// Returns the crashes that speak against a segment: none of its requests has succeeded shortly
    /// before them, or since.
    fn counted(&self, segment: u64) -> impl Iterator<Item = &Crash> {
        let success = self.latest_success(segment);
        self.crashes.iter().filter(move |crash| {
            let counts = success.is_none_or(|at| crash.at > at + SUCCESS_PERIOD);
            counts && crash.segments.contains(&segment)
        })
    }

    fn latest_success(&self, segment: u64) -> Option<Millis> {
        let own = self.own_successes.get(&segment);
        own.max(self.successes.get(&segment)).copied()
    }

    fn forget(&mut self, now: Millis) {
        self.crashes
            .retain(|crash| crash.at + CRASH_RETENTION > now);
        self.own_crashes
            .retain(|crash| crash.at + CRASH_RETENTION > now);
        self.quarantined.retain(|_, until| *until > now);
    }
}
