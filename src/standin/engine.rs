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

use super::prefix_cache::{BYTES_PER_TOKEN, PrefixCache};
use super::reply;
use super::sampling::{Connection, Exported, Sampling, Stage};
use super::served_version::{Effect, ServedVersion, VersionFault};

/// Maximum number of requests that generate tokens at the same time.
const SLOTS: u32 = 16;

/// Time for which a stream can be read after it ended.
const RETENTION: Millis = Millis::from_secs(60);

/// Timeout for reading a KV cache from another engine.
const IMPORT_TIMEOUT: Millis = Millis(2_000);

/// Speed and injected faults of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Time between two tokens.
    pub token_ms: Millis,
    /// Time to prefill a thousand uncached tokens.
    pub prefill_ms: Millis,
    /// Refuses requests to generate with an error.
    pub fail: bool,
    /// Stops generating on all streams, without closing them.
    pub stall: bool,
    /// Reports that the endpoint is leaving.
    pub leaving: bool,
    /// Stops sending on the currently open connections, without closing them.
    pub stall_connections: bool,
    /// Refuses to export KV caches.
    pub refuse_export: bool,
    /// Accepts orders with a stale fencing token.
    pub ignore_fence: bool,
    /// Faults by version.
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

/// A model engine that generates made-up tokens at a constant rate.
///
/// The text of a token contains its offset and its sampling run, so that a test can detect a
/// response that mixes two sampling runs; see [`token_text`](super::token_text).
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    version: ServedVersion,
    incarnation: u64,
    /// Number of load reports so far.
    reports: AtomicU64,
    /// Requests that wait for a slot.
    queued: AtomicU32,
    slots: Arc<Semaphore>,
    /// Sampling runs by handle, until [`RETENTION`] after their end.
    streams: Mutex<HashMap<Arc<str>, Arc<Sampling>>>,
    faults: Mutex<EngineFaults>,
    cache: Mutex<PrefixCache>,
    /// Number of times that `stall_connections` was set; a change stalls the open connections.
    stalls: watch::Sender<u64>,
    http: transport::Client,
}

impl Engine {
    /// Creates an engine that serves this version.
    #[must_use]
    pub fn new(version: Arc<str>) -> Self {
        Self {
            inner: Arc::new(Inner {
                version: ServedVersion::new(version),
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
        let generate = warp::path!("generate")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .map(|request: Generate, this: Self| this.generate(request))
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
                let check_fence = !this.faults().ignore_fence;
                this.inner
                    .version
                    .apply(&order, check_fence)
                    .into_response()
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

    /// Returns the effect of the served version's fault on a request.
    fn version_effect(&self, request: &Generate) -> Effect {
        let faults = self.faults();
        let running = SLOTS as usize - self.inner.slots.available_permits();
        let route = if request.priority == 0 {
            "interactive"
        } else {
            "long"
        };
        let fault = faults.versions.get(&*self.inner.version.current());
        fault.map_or(Effect::None, |fault| {
            self.inner.version.effect(fault, route, running)
        })
    }

    /// Starts a sampling run and sends its tokens.
    fn generate(&self, request: Generate) -> warp::reply::Response {
        let effect = self.version_effect(&request);
        if self.faults().fail || effect == Effect::Fail {
            return super::unavailable().into_response();
        }
        let mut context = request.prompt.to_string();
        context.extend(request.generated.iter().map(|text| &**text));
        let mut cache = self.inner.cache.lock().expect("cache lock");
        let cached = cache.lookup(&context);
        drop(cache);
        let total = request.prompt.len() / BYTES_PER_TOKEN + request.generated.len() + 1;
        self.start_sampling(request, cached.min(total - 1), total, effect.delay())
    }

    /// Starts a sampling run with `cached` of `total` context tokens in its KV cache.
    fn start_sampling(
        &self,
        request: Generate,
        cached: usize,
        total: usize,
        delay: Millis,
    ) -> warp::reply::Response {
        let handle: Arc<str> = Uuid::new_v4().to_string().into();
        let from = request.generated.len();
        let sampling = Arc::new(Sampling::new(Arc::clone(&handle), request));
        let mut streams = self.inner.streams.lock().expect("streams lock");
        streams.insert(Arc::clone(&handle), Arc::clone(&sampling));
        drop(streams);
        let start = Start {
            handle,
            cached_tokens: u32::try_from(cached).unwrap_or(u32::MAX),
            prefill_tokens: u32::try_from(total - cached).unwrap_or(u32::MAX),
        };
        let prefill_tokens = start.prefill_tokens;
        tokio::spawn(
            self.clone()
                .sample(Arc::clone(&sampling), prefill_tokens, delay),
        );
        self.send_events(sampling, Some(start), from)
    }

    /// Sends the events of a sampling run from the token at offset `from` on.
    fn send_events(
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

    /// Sends the tokens of an existing sampling run over a new connection.
    fn attach(&self, handle: &str, from: usize) -> warp::reply::Response {
        match self.find(handle) {
            Some(sampling) => self.send_events(sampling, None, from),
            None => super::not_found().into_response(),
        }
    }

    /// Ends a sampling run, if it exists.
    fn cancel(&self, handle: &str) -> warp::reply::Response {
        if let Some(sampling) = self.find(handle) {
            sampling.end(Stage::Cancelled);
        }
        reply(StatusCode::OK, &serde_json::json!({})).into_response()
    }

    /// Ends a sampling run and returns the identifier of its KV cache, which another engine can
    /// import.
    fn export(&self, handle: &str, host: &str) -> warp::reply::Response {
        let found = self.find(handle).filter(|_| !self.faults().refuse_export);
        let Some(sampling) = found else {
            return super::not_found().into_response();
        };
        sampling.end(Stage::Exported);
        let tokens = sampling.exported().tokens.len();
        let export = Export {
            kv: format!("{host}/{handle}").into(),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
        reply(StatusCode::OK, &export).into_response()
    }

    /// Returns the KV cache of a sampling run.
    fn kv(&self, handle: &str) -> warp::reply::Response {
        match self.find(handle) {
            Some(sampling) => reply(StatusCode::OK, &sampling.exported()).into_response(),
            None => super::not_found().into_response(),
        }
    }

    /// Reads an exported KV cache from the engine whose address its identifier contains, and
    /// continues from it.
    async fn import(&self, import: Import) -> warp::reply::Response {
        let Some((address, handle)) = import.kv.split_once('/') else {
            return super::not_found().into_response();
        };
        let Ok(address) = address.parse() else {
            return super::not_found().into_response();
        };
        let path = format!("/kv/{handle}");
        let exported = self.inner.http.get_json::<Exported>(address, &path).await;
        let Ok(Exported { request, tokens }) = exported else {
            return super::unavailable().into_response();
        };
        let request = Generate {
            attempt: import.attempt,
            generated: tokens,
            ..request
        };
        let total = request.prompt.len() / BYTES_PER_TOKEN + request.generated.len();
        self.start_sampling(request, total, total, Millis::ZERO)
    }

    fn find(&self, handle: &str) -> Option<Arc<Sampling>> {
        let streams = self.inner.streams.lock().expect("streams lock");
        streams.get(handle).cloned()
    }

    /// Waits for a slot, then generates the tokens of a sampling run and removes it after
    /// [`RETENTION`].
    async fn sample(self, sampling: Arc<Sampling>, prefill_tokens: u32, delay: Millis) {
        self.inner.queued.fetch_add(1, Ordering::SeqCst);
        let permit = Arc::clone(&self.inner.slots).acquire_owned().await;
        self.inner.queued.fetch_sub(1, Ordering::SeqCst);
        let prefill_ms = self.faults().prefill_ms.0 * u64::from(prefill_tokens) / 1_000;
        tokio::time::sleep((Millis(prefill_ms) + delay).into()).await;
        for _ in sampling.request.generated.len()..sampling.request.max_tokens as usize {
            tokio::time::sleep(self.faults().token_ms.into()).await;
            while self.faults().stall && sampling.stage() == Stage::Running {
                tokio::time::sleep(Millis(20).into()).await;
            }
            if !sampling.generate_token() {
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
            version: self.inner.version.current(),
            leaving: self.faults().leaving,
            incarnation: self.inner.incarnation,
            seq: self.inner.reports.fetch_add(1, Ordering::SeqCst),
        }
    }

    fn faults(&self) -> EngineFaults {
        self.inner.faults.lock().expect("faults lock").clone()
    }
}

/// Query of `GET /streams/{handle}`.
#[derive(Deserialize)]
struct Attach {
    #[serde(default)]
    from: usize,
}
