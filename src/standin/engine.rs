use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use futures::Stream;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use uuid::Uuid;
use warp::http::StatusCode;
use warp::sse;
use warp::{Filter, Reply};

use crate::clock::Millis;
use crate::endpoint::{Done, Generate, Load, Start, Token};
use crate::platform::Fenced;

use super::orders::{Effect, Orders, VersionFault};
use super::reply;

const SLOTS: u32 = 16;

/// Faults and speed of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Time between two tokens.
    pub token_ms: Millis,
    /// Time for the prefill of a thousand uncached tokens.
    pub prefill_ms: Millis,
    /// Answers requests with an error.
    pub fail: bool,
    /// Generates nothing more on open streams, without closing them.
    pub stall: bool,
    /// Reports that the endpoint is leaving.
    pub leaving: bool,
    /// Accepts orders with an old fencing token.
    pub ignore_fence: bool,
    /// What is wrong with each version.
    pub versions: HashMap<String, VersionFault>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            token_ms: Millis(10),
            prefill_ms: Millis(50),
            fail: false,
            stall: false,
            leaving: false,
            ignore_fence: false,
            versions: HashMap::new(),
        }
    }
}

/// A model engine that generates made-up tokens at a steady pace.
///
/// The text of a token names its offset and the sampling that it comes from, so that a test
/// recognizes a response that was put together from two samplings.
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    orders: Orders,
    incarnation: u64,
    reports: AtomicU64,
    queued: AtomicU32,
    slots: Arc<Semaphore>,
    streams: Mutex<HashMap<Arc<str>, Arc<Sampling>>>,
    faults: Mutex<EngineFaults>,
}

#[derive(Debug)]
struct Sampling {
    handle: Arc<str>,
    tokens: Mutex<Vec<Arc<str>>>,
    done: watch::Sender<bool>,
    length: watch::Sender<usize>,
}

impl Engine {
    /// Creates an engine of this version.
    #[must_use]
    pub fn new(version: Arc<str>) -> Self {
        Self {
            inner: Arc::new(Inner {
                orders: Orders::new(version),
                incarnation: rand::random(),
                reports: AtomicU64::new(0),
                queued: AtomicU32::new(0),
                slots: Arc::new(Semaphore::new(SLOTS as usize)),
                streams: Mutex::default(),
                faults: Mutex::default(),
            }),
        }
    }

    /// Returns the HTTP interface.
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
        let generate = warp::path!("generate")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .map(|body: Generate, this: Self| this.generate(body))
            .boxed();
        let attach = warp::path!("streams" / String)
            .and(warp::get())
            .and(warp::query())
            .and(with.clone())
            .map(|handle: String, query: Attach, this: Self| this.attach(&handle, query.from))
            .boxed();
        let cancel = warp::path!("streams" / String)
            .and(warp::delete())
            .and(with.clone())
            .map(|handle: String, this: Self| {
                this.inner
                    .streams
                    .lock()
                    .expect("streams lock")
                    .remove(&*handle);
                reply(StatusCode::OK, &serde_json::json!({})).into_response()
            })
            .boxed();
        let load = warp::path!("load")
            .and(warp::get())
            .and(with.clone())
            .map(|this: Self| reply(StatusCode::OK, &this.load()).into_response())
            .boxed();
        let faults = warp::path!("faults")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .map(|faults: EngineFaults, this: Self| {
                *this.inner.faults.lock().expect("faults lock") = faults;
                reply(StatusCode::OK, &serde_json::json!({})).into_response()
            })
            .boxed();
        let orders = warp::path!("orders")
            .and(warp::post())
            .and(warp::body::json())
            .and(with)
            .map(|order: Fenced, this: Self| {
                let checks = !this.faults().ignore_fence;
                this.inner.orders.apply(&order, checks).into_response()
            })
            .boxed();
        generate
            .or(attach)
            .unify()
            .or(orders)
            .unify()
            .or(cancel)
            .unify()
            .or(load)
            .unify()
            .or(faults)
            .unify()
            .recover(|rejection| async {
                super::recover(rejection).await.map(Reply::into_response)
            })
            .unify()
    }

    fn generate(&self, body: Generate) -> warp::reply::Response {
        let faults = self.faults();
        let version = faults.versions.get(&*self.inner.orders.version());
        let running = SLOTS as usize - self.inner.slots.available_permits();
        let route = if body.priority == 0 {
            "interactive"
        } else {
            "long"
        };
        let effect = version.map_or(Effect::None, |fault| {
            self.inner.orders.effect(fault, route, running)
        });
        if faults.fail || effect == Effect::Fail {
            return super::unavailable().into_response();
        }
        let handle: Arc<str> = Uuid::new_v4().to_string().into();
        let sampling = Arc::new(Sampling {
            handle: Arc::clone(&handle),
            tokens: Mutex::new(body.generated.clone()),
            done: watch::Sender::new(false),
            length: watch::Sender::new(body.generated.len()),
        });
        self.inner
            .streams
            .lock()
            .expect("streams lock")
            .insert(Arc::clone(&handle), Arc::clone(&sampling));
        let prefill_tokens =
            u32::try_from(body.prompt.len() / 4 + body.generated.len() + 1).unwrap_or(u32::MAX);
        let start = Start {
            handle,
            cached_tokens: 0,
            prefill_tokens,
        };
        let from = body.generated.len();
        tokio::spawn(self.clone().sample(
            Arc::clone(&sampling),
            body,
            prefill_tokens,
            effect.delay(),
        ));
        sse::reply(sse::keep_alive().stream(follow(sampling, Some(start), from))).into_response()
    }

    fn attach(&self, handle: &str, from: usize) -> warp::reply::Response {
        let streams = self.inner.streams.lock().expect("streams lock");
        let Some(sampling) = streams.get(handle).cloned() else {
            return super::missing().into_response();
        };
        drop(streams);
        sse::reply(sse::keep_alive().stream(follow(sampling, None, from))).into_response()
    }

    async fn sample(
        self,
        sampling: Arc<Sampling>,
        body: Generate,
        prefill_tokens: u32,
        delay: Millis,
    ) {
        self.inner.queued.fetch_add(1, Ordering::SeqCst);
        let permit = Arc::clone(&self.inner.slots).acquire_owned().await;
        self.inner.queued.fetch_sub(1, Ordering::SeqCst);
        let prefill = self.faults().prefill_ms.0 * u64::from(prefill_tokens) / 1_000;
        tokio::time::sleep((Millis(prefill) + delay).into()).await;
        let sampling_name = &sampling.handle[..8];
        for offset in body.generated.len()..body.max_tokens as usize {
            tokio::time::sleep(self.faults().token_ms.into()).await;
            while self.faults().stall {
                tokio::time::sleep(Millis(20).into()).await;
            }
            let cancelled = !self
                .inner
                .streams
                .lock()
                .expect("streams lock")
                .contains_key(&sampling.handle);
            if cancelled {
                break;
            }
            let text = format!("w{offset}.{sampling_name} ").into();
            sampling.tokens.lock().expect("tokens lock").push(text);
            sampling.length.send_replace(offset + 1);
        }
        sampling.done.send_replace(true);
        sampling.length.send_modify(|_| ());
        drop(permit);
    }

    fn load(&self) -> Load {
        let free = u32::try_from(self.inner.slots.available_permits()).unwrap_or(0);
        Load {
            running: SLOTS - free,
            queued: self.inner.queued.load(Ordering::SeqCst),
            slots: SLOTS,
            version: self.inner.orders.version(),
            leaving: self.faults().leaving,
            incarnation: self.inner.incarnation,
            seq: self.inner.reports.fetch_add(1, Ordering::SeqCst),
        }
    }

    fn faults(&self) -> EngineFaults {
        self.inner.faults.lock().expect("faults lock").clone()
    }
}

#[derive(Deserialize)]
struct Attach {
    #[serde(default)]
    from: usize,
}

/// Streams the events of a sampling from an offset on.
fn follow(
    sampling: Arc<Sampling>,
    start: Option<Start>,
    from: usize,
) -> impl Stream<Item = Result<sse::Event, Infallible>> + Send + Sync + 'static {
    let length = sampling.length.subscribe();
    futures::stream::unfold(
        (sampling, start, from, length, false),
        |(sampling, start, from, mut length, ended)| async move {
            if let Some(start) = start {
                let event = json_event("start", &start);
                return Some((Ok(event), (sampling, None, from, length, false)));
            }
            if ended {
                return None;
            }
            loop {
                length.borrow_and_update();
                let token = sampling
                    .tokens
                    .lock()
                    .expect("tokens lock")
                    .get(from)
                    .cloned();
                if let Some(text) = token {
                    let offset = u32::try_from(from).unwrap_or(u32::MAX);
                    let event = json_event("token", &Token { offset, text });
                    return Some((Ok(event), (sampling, None, from + 1, length, false)));
                }
                if *sampling.done.borrow() {
                    let tokens = u32::try_from(from).unwrap_or(u32::MAX);
                    let event = json_event("done", &Done { tokens });
                    return Some((Ok(event), (sampling, None, from, length, true)));
                }
                if length.changed().await.is_err() {
                    return None;
                }
            }
        },
    )
}

fn json_event<T>(name: &str, data: &T) -> sse::Event
where
    T: Serialize,
{
    let data = serde_json::to_string(data).unwrap_or_default();
    sse::Event::default().event(name).data(data)
}
