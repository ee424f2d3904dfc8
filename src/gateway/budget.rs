use std::collections::VecDeque;

use crate::clock::Millis;

/// Length of one count; windows are made of these.
const BUCKET: Millis = Millis(500);

/// Part of the ratio that is spent; the rest covers requests that other nodes count differently.
const RATIO_MARGIN: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Millis,
    requests: u32,
    resent: u32,
}

/// How often requests of one service may be sent to another endpoint.
///
/// Each node keeps within its own requests and an equal part of the common slack, so that all nodes
/// together stay within the limit without asking each other.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

/// The limit that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Length of the window that the limit holds for.
    pub window: Millis,
    /// Sends beyond the first that are free in each window, for all nodes together.
    pub slack: f64,
}

impl RetryBudget {
    /// Notes a request.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Returns whether a request may be sent once more, and counts it.
    pub fn try_retry(&mut self, limit: &RetryLimit, nodes: usize, now: Millis) -> bool {
        let window = limit.window + BUCKET;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.start + window <= now)
        {
            self.buckets.pop_front();
        }
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let resent: u32 = self.buckets.iter().map(|b| b.resent).sum();
        let own_slack = (limit.slack / nodes.max(1) as f64).floor();
        let most = f64::from(requests) * limit.ratio * RATIO_MARGIN + own_slack;
        if f64::from(resent) + 1.0 > most {
            return false;
        }
        self.bucket(now).resent += 1;
        true
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let fresh = self.buckets.back().is_none_or(|b| b.start + BUCKET <= now);
        if fresh {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
