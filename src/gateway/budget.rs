use std::collections::VecDeque;

use crate::clock::Millis;

/// Time span of the buckets in which requests and retries are counted.
const BUCKET_LENGTH: Millis = Millis(500);

/// Share of the ratio that is used; the rest covers requests that other nodes count differently.
const RATIO_MARGIN: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// Limits how often requests of one service are retried at another endpoint.
///
/// Each node limits its retries by its own requests and an equal share of the common slack, so that
/// all nodes together stay within the limit without communication.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

/// The limit on the retries of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the window in which the limit applies.
    pub window: Millis,
    /// Retries allowed in each window regardless of the requests, for all nodes together.
    pub slack: f64,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry if the budget allows one more, and returns whether it does.
    pub fn try_retry(&mut self, limit: &RetryLimit, nodes: usize, now: Millis) -> bool {
        let window = limit.window + BUCKET_LENGTH;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.start + window <= now)
        {
            self.buckets.pop_front();
        }
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let own_slack = (limit.slack / nodes.max(1) as f64).floor();
        let max_retries = f64::from(requests) * limit.ratio * RATIO_MARGIN + own_slack;
        if f64::from(retries) + 1.0 > max_retries {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let fresh = self
            .buckets
            .back()
            .is_none_or(|b| b.start + BUCKET_LENGTH <= now);
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
