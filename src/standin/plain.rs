use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::clock::Millis;
use crate::endpoint::Load;

use super::reply;

/// Injected faults and delays of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Time that a call takes.
    pub delay_ms: Millis,
    /// Every `slow_every`-th call takes `slow_ms` instead; 0 for none.
    pub slow_every: u32,
    /// Time that a slow call takes.
    pub slow_ms: Millis,
    /// Number of calls that are executed but get no response.
    pub lose_responses: u32,
    /// Answers status requests with the stored response, if the call was executed.
    pub states_outcomes: bool,
    /// Refuses calls with an error, without executing them.
    pub fail: bool,
    /// Route to which `fail` and the delays apply; `None` means all.
    pub route: Option<String>,
    /// Bytes of padding in each response.
    pub padding: usize,
    /// Reports that the endpoint is leaving.
    pub leaving: bool,
}

/// A plain service that counts the executions of each idempotency key.
#[derive(Clone, Debug)]
pub struct Plain {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    version: Arc<str>,
    incarnation: u64,
    /// Calls that the delays applied to.
    calls: AtomicU32,
    /// Number of executions by idempotency key.
    executions: Mutex<BTreeMap<String, u32>>,
    /// Responses by idempotency key.
    outcomes: Mutex<BTreeMap<String, Value>>,
    faults: Mutex<PlainFaults>,
}

impl Plain {
    /// Creates a service that reports this version.
    #[must_use]
    pub fn new(version: Arc<str>) -> Self {
        Self {
            inner: Arc::new(Inner {
                version,
                incarnation: rand::random(),
                calls: AtomicU32::new(0),
                executions: Mutex::default(),
                outcomes: Mutex::default(),
                faults: Mutex::default(),
            }),
        }
    }

    /// Returns the filter that serves the HTTP interface.
    pub fn filter(
        &self,
    ) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
    + Clone
    + Send
    + Sync
    + 'static
    + use<> {
        let this = self.clone();
        let with = warp::any().map(move || this.clone());
        let call = warp::path!("call" / String)
            .and(warp::post())
            .and(warp::header::optional("idempotency-key"))
            .and(warp::header::optional("x-almondpath-status-of"))
            .and(warp::body::bytes())
            .and(with.clone())
            .then(
                |route, key, status_of: Option<String>, body, this: Self| async move {
                    match status_of {
                        Some(key) => this.status(&key).into_response(),
                        None => this.call(route, key, body).await.into_response(),
                    }
                },
            )
            .boxed();
        let load = warp::path!("load")
            .and(warp::get())
            .and(with.clone())
            .map(|this: Self| reply(StatusCode::OK, &this.load()))
            .boxed();
        let executions = warp::path!("executions")
            .and(warp::get())
            .and(with.clone())
            .map(|this: Self| {
                let executions = this.inner.executions.lock().expect("executions lock");
                reply(StatusCode::OK, &*executions)
            })
            .boxed();
        let faults = warp::path!("faults")
            .and(warp::post())
            .and(warp::body::json())
            .and(with)
            .map(|faults: PlainFaults, this: Self| {
                *this.inner.faults.lock().expect("faults lock") = faults;
                reply(StatusCode::OK, &serde_json::json!({}))
            })
            .boxed();
        let others = load
            .or(executions)
            .unify()
            .or(faults)
            .unify()
            .recover(super::recover)
            .unify();
        call.or(others.map(Reply::into_response)).unify()
    }

    /// Executes a call and responds, as far as the injected faults allow.
    async fn call(
        self,
        route: String,
        key: Option<String>,
        body: Bytes,
    ) -> Result<super::JsonReply, Infallible> {
        let faults = self.inner.faults.lock().expect("faults lock").clone();
        let is_affected = faults.route.as_ref().is_none_or(|faulty| *faulty == route);
        if is_affected && faults.fail {
            return super::unavailable();
        }
        let key = key.unwrap_or_default();
        let count = {
            let mut executions = self.inner.executions.lock().expect("executions lock");
            let count = executions.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        let response = serde_json::json!({
            "route": route,
            "version": self.inner.version,
            "execution": count,
            "bytes": body.len(),
            "padding": "x".repeat(faults.padding),
        });
        {
            let mut outcomes = self.inner.outcomes.lock().expect("outcomes lock");
            outcomes.insert(key, response.clone());
        }
        if faults.lose_responses > 0 {
            self.inner
                .faults
                .lock()
                .expect("faults lock")
                .lose_responses -= 1;
            std::future::pending::<()>().await;
        }
        if is_affected {
            let calls = self.inner.calls.fetch_add(1, Ordering::Relaxed) + 1;
            let slow = faults.slow_every > 0 && calls.is_multiple_of(faults.slow_every);
            let delay = if slow {
                faults.slow_ms
            } else {
                faults.delay_ms
            };
            tokio::time::sleep(delay.into()).await;
        }
        reply(StatusCode::OK, &response)
    }

    /// Answers a status request with the stored response of a key, if `states_outcomes` is set.
    fn status(&self, key: &str) -> warp::reply::Response {
        let states_outcomes = self
            .inner
            .faults
            .lock()
            .expect("faults lock")
            .states_outcomes;
        let outcomes = self.inner.outcomes.lock().expect("outcomes lock");
        let Some(response) = outcomes.get(key).filter(|_| states_outcomes) else {
            return super::not_found().into_response();
        };
        let response = warp::reply::json(response);
        warp::reply::with_header(response, "x-almondpath-outcome", "ran").into_response()
    }

    /// Returns the load report.
    fn load(&self) -> Load {
        Load {
            slots: 64,
            version: Arc::clone(&self.inner.version),
            leaving: self.inner.faults.lock().expect("faults lock").leaving,
            incarnation: self.inner.incarnation,
            ..Load::default()
        }
    }
}
