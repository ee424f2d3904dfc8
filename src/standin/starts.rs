use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::placement::Token;
use crate::provider::StartHost;

use super::{JsonReply, PlatformFaults, reply};

/// The platform's API for host starts, and the rate limit of its weight store.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    /// Started hosts by the token of their start.
    started: Arc<Mutex<BTreeMap<Token, StartHost>>>,
    /// Time of the last fetch of weights that was served.
    fetched_at: Arc<Mutex<Option<Instant>>>,
}

impl Starts {
    /// Returns the filter that serves `POST` and `GET /starts`, `DELETE /starts/{token}` and
    /// `POST /fetches`.
    pub(super) fn filter(
        &self,
        faults: &Arc<Mutex<PlatformFaults>>,
    ) -> BoxedFilter<(Result<JsonReply, Infallible>,)> {
        let (this, faults) = (self.clone(), Arc::clone(faults));
        let with = warp::any().map(move || (this.clone(), Arc::clone(&faults)));
        let start = warp::path!("starts")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .then(
                |start: StartHost, (this, faults): (Self, Arc<Mutex<PlatformFaults>>)| async move {
                    this.start(start, &faults).await
                },
            );
        let list = warp::path!("starts")
            .and(warp::get())
            .and(with.clone())
            .map(|(this, _): (Self, _)| {
                let started = this.started.lock().expect("starts lock");
                reply(StatusCode::OK, &started.values().collect::<Vec<_>>())
            });
        let cancel = warp::path!("starts" / Token)
            .and(warp::delete())
            .and(with.clone())
            .map(|token: Token, (this, _): (Self, _)| {
                this.started.lock().expect("starts lock").remove(&token);
                reply(StatusCode::OK, &serde_json::json!({}))
            });
        let fetch = warp::path!("fetches").and(warp::post()).and(with).map(
            |(this, faults): (Self, Arc<Mutex<PlatformFaults>>)| {
                let interval = faults.lock().expect("faults lock").fetch_interval_ms;
                this.fetch(interval)
            },
        );
        start
            .or(list)
            .unify()
            .or(cancel)
            .unify()
            .or(fetch)
            .unify()
            .boxed()
    }

    /// Starts a host, unless a fault prevents it.
    async fn start(
        &self,
        start: StartHost,
        faults: &Mutex<PlatformFaults>,
    ) -> Result<JsonReply, Infallible> {
        let lose_response = {
            let mut faults = faults.lock().expect("faults lock");
            if faults.refuse_starts || faults.down {
                let error = Error::not_run(ErrorKind::Unavailable, "no host of this class is free");
                return reply(StatusCode::SERVICE_UNAVAILABLE, &error);
            }
            let lose_response = faults.lose_start_answers > 0;
            faults.lose_start_answers = faults.lose_start_answers.saturating_sub(1);
            lose_response
        };
        self.record(start);
        if lose_response {
            std::future::pending::<()>().await;
        }
        reply(StatusCode::OK, &serde_json::json!({}))
    }

    /// Records a start; a repeated start with the same token has no effect.
    fn record(&self, start: StartHost) {
        let mut started = self.started.lock().expect("starts lock");
        started.entry(start.token).or_insert(start);
    }

    /// Serves a fetch of weights, unless the last one was less than `interval` ago.
    fn fetch(&self, interval: Millis) -> Result<JsonReply, Infallible> {
        let mut fetched_at = self.fetched_at.lock().expect("fetches lock");
        let elapsed = fetched_at.map_or(interval, |at| at.elapsed().into());
        if elapsed < interval {
            let error = Error::not_run(ErrorKind::Overloaded, "the weight store is at its limit")
                .with_retry_after(interval - elapsed);
            return reply(StatusCode::TOO_MANY_REQUESTS, &error);
        }
        *fetched_at = Some(Instant::now());
        reply(StatusCode::OK, &serde_json::json!({}))
    }
}
