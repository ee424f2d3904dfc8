use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use uuid::Uuid;
use warp::http::StatusCode;
use warp::sse;
use warp::{Filter, Reply};

use crate::clock::Millis;
use crate::endpoint::{Export, Generate, Import, Load, Start};
use crate::provider::FencedOrder;
use crate::transport;

use super::orders::{Effect, Orders, VersionFault};
use super::prefix_cache::{BYTES_PER_TOKEN, PrefixCache};
use super::reply;
use super::sampling::{Connection, Exported, Sampling, Stage};

const SLOTS: u32 = 16;

/// Time for which an ended stream can still be read.
const RETENTION: Millis = Millis::from_secs(60);

const IMPORT_TIMEOUT: Millis = Millis(2_000);

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
    /// Sends nothing more on the connections that are open now, without closing them.
    pub stall_connections: bool,
    /// Refuses to export KV caches.
    pub refuse_export: bool,
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
            stall_connections: false,
            refuse_export: false,
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
    cache: Mutex<PrefixCache>,
    stalls: watch::Sender<u64>,
    http: transport::Client,
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
                cache: Mutex::default(),
                stalls: watch::Sender::new(0),
                http: transport::Client::new(IMPORT_TIMEOUT),
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
            .map(|handle: String, this: Self| this.cancel(&handle))
            .boxed();
        let export = warp::path!("streams" / String / "export")
            .and(warp::post())
            .and(warp::header::<String>("host"))
            .and(with.clone())
            .map(|handle: String, host: String, this: Self| this.export(&handle, &host))
            .boxed();
        let import = warp::path!("import")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .then(|body: Import, this: Self| async move { this.import(body).await })
            .boxed();
        let kv = warp::path!("kv" / String)
            .and(warp::get())
            .and(with.clone())
            .map(|handle: String, this: Self| this.kv(&handle))
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
                if faults.stall_connections {
                    this.inner.stalls.send_modify(|count| *count += 1);
                }
                *this.inner.faults.lock().expect("faults lock") = faults;
                reply(StatusCode::OK, &serde_json::json!({})).into_response()
            })
            .boxed();
        let orders = warp::path!("orders")
            .and(warp::post())
            .and(warp::body::json())
            .and(with)
            .map(|order: FencedOrder, this: Self| {
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
            .or(export)
            .unify()
            .or(import)
            .unify()
            .or(kv)
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

    fn effect(&self, order: &Generate) -> Effect {
        let faults = self.faults();
        let running = SLOTS as usize - self.inner.slots.available_permits();
        let route = if order.priority == 0 {
            "interactive"
        } else {
            "long"
        };
        let version = faults.versions.get(&*self.inner.orders.version());
        version.map_or(Effect::None, |fault| {
            self.inner.orders.effect(fault, route, running)
        })
    }

    fn generate(&self, order: Generate) -> warp::reply::Response {
        let effect = self.effect(&order);
        if self.faults().fail || effect == Effect::Fail {
            return super::unavailable().into_response();
        }
        let mut context = order.prompt.to_string();
        context.extend(order.generated.iter().map(|text| &**text));
        let mut cache = self.inner.cache.lock().expect("cache lock");
        let cached = cache.lookup(&context);
        drop(cache);
        let total = order.prompt.len() / BYTES_PER_TOKEN + order.generated.len() + 1;
        self.begin(order, cached.min(total - 1), total, effect.delay())
    }

    /// Starts a sampling that has `cached` of `total` tokens in its KV cache.
    fn begin(
        &self,
        order: Generate,
        cached: usize,
        total: usize,
        delay: Millis,
    ) -> warp::reply::Response {
        let handle: Arc<str> = Uuid::new_v4().to_string().into();
        let from = order.generated.len();
        let sampling = Arc::new(Sampling::new(Arc::clone(&handle), order));
        let mut streams = self.inner.streams.lock().expect("streams lock");
        streams.insert(Arc::clone(&handle), Arc::clone(&sampling));
        drop(streams);
        let start = Start {
            handle,
            cached_tokens: u32::try_from(cached).unwrap_or(u32::MAX),
            prefill_tokens: u32::try_from(total - cached).unwrap_or(u32::MAX),
        };
        let prefill = start.prefill_tokens;
        tokio::spawn(self.clone().sample(Arc::clone(&sampling), prefill, delay));
        self.send(sampling, Some(start), from)
    }

    fn send(
        &self,
        sampling: Arc<Sampling>,
        start: Option<Start>,
        from: usize,
    ) -> warp::reply::Response {
        let connection = Connection {
            sampling,
            start,
            from,
            stalls: self.inner.stalls.subscribe(),
        };
        sse::reply(sse::keep_alive().stream(connection.events())).into_response()
    }

    fn attach(&self, handle: &str, from: usize) -> warp::reply::Response {
        match self.find(handle) {
            Some(sampling) => self.send(sampling, None, from),
            None => super::missing().into_response(),
        }
    }

    fn cancel(&self, handle: &str) -> warp::reply::Response {
        if let Some(sampling) = self.find(handle) {
            sampling.end(Stage::Cancelled);
        }
        reply(StatusCode::OK, &serde_json::json!({})).into_response()
    }

    fn export(&self, handle: &str, host: &str) -> warp::reply::Response {
        let found = self.find(handle).filter(|_| !self.faults().refuse_export);
        let Some(sampling) = found else {
            return super::missing().into_response();
        };
        sampling.end(Stage::Exported);
        let tokens = sampling.exported().tokens.len();
        let export = Export {
            kv: format!("{host}/{handle}").into(),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
        reply(StatusCode::OK, &export).into_response()
    }

    fn kv(&self, handle: &str) -> warp::reply::Response {
        match self.find(handle) {
            Some(sampling) => reply(StatusCode::OK, &sampling.exported()).into_response(),
            None => super::missing().into_response(),
        }
    }

    /// Reads an exported KV cache from the engine that its name gives, and continues from it.
    async fn import(&self, import: Import) -> warp::reply::Response {
        let Some((address, handle)) = import.kv.split_once('/') else {
            return super::missing().into_response();
        };
        let Ok(address) = address.parse() else {
            return super::missing().into_response();
        };
        let path = format!("/kv/{handle}");
        let exported = self.inner.http.get_json::<Exported>(address, &path).await;
        let Ok(Exported { order, tokens }) = exported else {
            return super::unavailable().into_response();
        };
        let order = Generate {
            attempt: import.attempt,
            generated: tokens,
            ..order
        };
        let total = order.prompt.len() / BYTES_PER_TOKEN + order.generated.len();
        self.begin(order, total, total, Millis::ZERO)
    }

    fn find(&self, handle: &str) -> Option<Arc<Sampling>> {
        let streams = self.inner.streams.lock().expect("streams lock");
        streams.get(handle).cloned()
    }

    async fn sample(self, sampling: Arc<Sampling>, prefill_tokens: u32, delay: Millis) {
        self.inner.queued.fetch_add(1, Ordering::SeqCst);
        let permit = Arc::clone(&self.inner.slots).acquire_owned().await;
        self.inner.queued.fetch_sub(1, Ordering::SeqCst);
        let prefill = self.faults().prefill_ms.0 * u64::from(prefill_tokens) / 1_000;
        tokio::time::sleep((Millis(prefill) + delay).into()).await;
        for _ in sampling.order.generated.len()..sampling.order.max_tokens as usize {
            tokio::time::sleep(self.faults().token_ms.into()).await;
            while self.faults().stall && sampling.stage() == Stage::Running {
                tokio::time::sleep(Millis(20).into()).await;
            }
            if !sampling.step() {
                break;
            }
        }
        sampling.end(Stage::Done);
        drop(permit);
        tokio::time::sleep(RETENTION.into()).await;
        let mut streams = self.inner.streams.lock().expect("streams lock");
        streams.remove(&sampling.handle);
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
