use std::collections::HashMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::rollout::{Order, Progress, Stage};
use crate::gateway::{
    Account, Config, Documents, Engine, Era, Identity, Limits, Quota, Registration, RetryPolicy,
    Route, Scale, Service, Share,
};

/// Key of the configuration in the operator's topic.
const CONFIG_KEY: &str = "config";

/// Prefix of the keys of rollout orders, and of their status; the name of the service follows.
const ROLLOUT_PREFIX: &str = "rollout/";

/// Prefix of the keys of evacuation orders; the name of the failure domain follows.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Decoder for the JSON documents of operators and endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decoder;

#[derive(Deserialize)]
struct ConfigDocument {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteDocument>,
    #[serde(default)]
    services: Vec<ServiceDocument>,
    #[serde(default)]
    limits: Option<LimitsDocument>,
    /// The client accounts.
    #[serde(default)]
    tenants: Vec<TenantDocument>,
}

#[derive(Deserialize)]
struct RouteDocument {
    name: Arc<str>,
    hostname: Arc<str>,
    path_prefix: Arc<str>,
    /// `idempotent`, `non_idempotent` or `streaming`: whether a request may be retried, and the
    /// kind of response.
    route_type: Arc<str>,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    /// The only service, if the traffic is not split.
    service: Option<Arc<str>>,
    #[serde(default)]
    traffic_split: Vec<SplitDocument>,
    /// Maximum number of endpoints that may receive one request; not the number of times that it is
    /// sent.
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    resume_streams: bool,
    gap_target_ms: Option<f64>,
}

#[derive(Deserialize)]
struct SplitDocument {
    service: Arc<str>,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceDocument {
    name: Arc<str>,
    #[serde(default)]
    max_connections: Option<u32>,
    /// Requests per second that an endpoint tolerates from all nodes while it is cold; no bound if 0.
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<EngineDocument>,
    scale_limits: Option<ScaleDocument>,
}

#[derive(Deserialize)]
struct EngineDocument {
    slots: u32,
    /// KV cache capacity of one engine, in tokens.
    kv_capacity: u64,
}

#[derive(Deserialize)]
struct ScaleDocument {
    /// Minimum number of endpoints in each failure domain; like `max`, not a total over all
    /// domains.
    min: u32,
    /// Maximum number of endpoints in each failure domain.
    max: u32,
    boot_s: f64,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: HashMap<Arc<str>, f64>,
}

#[derive(Deserialize)]
struct LimitsDocument {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// A client account.
#[derive(Deserialize)]
struct TenantDocument {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    priority: Option<u8>,
    /// Unit of the quota: `tokens`, or requests if missing.
    unit: Option<Arc<str>>,
    /// Tokens charged for a request that does not state its tokens.
    #[serde(default)]
    plain_tokens: f64,
    /// Units per second; no quota if 0 or missing.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Registration of an endpoint; unknown fields are ignored.
#[derive(Deserialize)]
struct EntryDocument {
    service: Arc<str>,
    address: std::net::SocketAddr,
    #[serde(rename = "zone")]
    domain: Arc<str>,
    version: Arc<str>,
    #[serde(default)]
    slots: u32,
    /// `ready` or `draining`; an entry with any other state is rejected.
    state: Arc<str>,
    /// Remaining time for which the endpoint is slow after its start; not its uptime.
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    sequence: u64,
    /// Wall time of the endpoint's start. Entries of other writers may encode it as another type.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    spot: bool,
    leaves_ms: Option<f64>,
}

/// An order to roll out a version of a service.
#[derive(Deserialize)]
struct OrderDocument {
    service: Arc<str>,
    target: Arc<str>,
    duration_s: f64,
}

/// The status of a rollout. Operators read `state` and `target`; the other fields are for nodes that
/// start later.
#[derive(Serialize, Deserialize)]
struct StatusDocument {
    service: Arc<str>,
    target: Arc<str>,
    /// `active`, `completed` or `reverted`.
    state: Arc<str>,
    duration_s: f64,
    /// Offset of the order in the operator's topic.
    order: u64,
    /// Wall time in milliseconds at which the order became known.
    started: u64,
    /// Era of the store in which the order has its offset.
    #[serde(default)]
    era: u64,
}

impl Documents for Decoder {
    fn config_key(&self) -> &'static str {
        CONFIG_KEY
    }

    fn config(&self, document: &[u8]) -> Result<Config, Error> {
        let document: ConfigDocument = parse(document)?;
        let routes: Result<Vec<_>, _> = document.routes.into_iter().map(route).collect();
        Ok(Config::new(
            document.version,
            routes?,
            document.services.into_iter().map(service).collect(),
            document.tenants.into_iter().map(account).collect(),
            document.limits.map(limits).unwrap_or_default(),
        ))
    }

    fn registration(&self, id: &str, document: &[u8]) -> Result<Registration, Error> {
        let entry: EntryDocument = parse(document)?;
        let leaving = match &*entry.state {
            "ready" => false,
            "draining" => true,
            state => return Err(malformed(format!("unknown endpoint state `{state}`"))),
        };
        if entry.service.is_empty() || id.is_empty() {
            return Err(malformed("service or id is empty".to_owned()));
        }
        if entry.address.port() == 0 || entry.address.ip().is_unspecified() {
            return Err(malformed("address cannot be connected to".to_owned()));
        }
        Ok(Registration {
            identity: Identity {
                id: id.into(),
                born: entry.born,
            },
            service: entry.service,
            address: entry.address,
            domain: entry.domain,
            version: entry.version,
            slots: entry.slots,
            leaving,
            leaves_in: entry.leaves_ms.map(millis),
            cold: millis(entry.cold_remaining_ms),
            spot: entry.spot,
            sequence: entry.sequence,
        })
    }

    fn evacuated_domain(&self, key: &str) -> Option<Arc<str>> {
        let domain = key.strip_prefix(EVACUATION_PREFIX)?;
        (!domain.is_empty()).then(|| domain.into())
    }

    fn rollout_order(&self, key: &str, document: &[u8]) -> Option<Result<Order, Error>> {
        let service = key.strip_prefix(ROLLOUT_PREFIX)?;
        Some(parse(document).and_then(|order| rollout_order(service, order)))
    }

    fn rollout_status_key(&self, service: &str) -> String {
        format!("{ROLLOUT_PREFIX}{service}")
    }

    fn rollout_status(&self, progress: &Progress) -> Vec<u8> {
        let status = StatusDocument {
            service: Arc::clone(&progress.order.service),
            target: Arc::clone(&progress.order.target),
            state: state(progress.stage).into(),
            duration_s: progress.order.duration.as_f64() / 1_000.0,
            order: progress.offset,
            started: progress.started.0,
            era: progress.era.0,
        };
        serde_json::to_vec(&status).expect("a status has string keys only")
    }

    fn parse_rollout_status(&self, key: &str, document: &[u8]) -> Option<Result<Progress, Error>> {
        let service = key.strip_prefix(ROLLOUT_PREFIX)?;
        Some(parse(document).and_then(|status| rollout_progress(service, status)))
    }
}

fn rollout_order(service: &str, document: OrderDocument) -> Result<Order, Error> {
    if *service != *document.service || document.target.is_empty() {
        return Err(malformed(
            "service is not that of the key, or target is empty".to_owned(),
        ));
    }
    if document.duration_s.is_nan() || document.duration_s <= 0.0 {
        return Err(malformed("duration_s must be positive".to_owned()));
    }
    Ok(Order {
        service: document.service,
        target: document.target,
        duration: millis(document.duration_s * 1_000.0),
    })
}

fn rollout_progress(service: &str, document: StatusDocument) -> Result<Progress, Error> {
    let stage = match &*document.state {
        "active" => Stage::Trial,
        "reverted" => Stage::Reverted,
        "completed" => Stage::Completed,
        state => return Err(malformed(format!("unknown state `{state}`"))),
    };
    let order = OrderDocument {
        service: document.service,
        target: document.target,
        duration_s: document.duration_s,
    };
    Ok(Progress {
        order: rollout_order(service, order)?,
        offset: document.order,
        started: Millis(document.started),
        stage,
        era: Era(document.era),
    })
}

/// Returns the platform's word for a stage.
const fn state(stage: Stage) -> &'static str {
    match stage {
        Stage::Trial | Stage::Promoted => "active",
        Stage::Reverted => "reverted",
        Stage::Completed => "completed",
    }
}

fn parse<T>(document: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(document).map_err(|error| malformed(error.to_string()))
}

fn malformed(reason: String) -> Error {
    Error::not_run(ErrorKind::Malformed, reason)
}

/// Converts milliseconds, which may be fractional: rounds down, and negative numbers become 0.
fn millis(time: f64) -> Millis {
    Millis(time.max(0.0) as u64)
}

fn route(document: RouteDocument) -> Result<Arc<Route>, Error> {
    let (retry_policy, streaming) = match &*document.route_type {
        "idempotent" => (RetryPolicy::Idempotent, false),
        "non_idempotent" => (RetryPolicy::Never, false),
        "streaming" if document.resume_streams => (RetryPolicy::Resume, true),
        "streaming" => (RetryPolicy::Never, true),
        kind => return Err(malformed(format!("unknown route type `{kind}`"))),
    };
    let shares = match document.service {
        Some(service) => vec![Share {
            service,
            weight: 1.0,
        }],
        None => document
            .traffic_split
            .into_iter()
            .map(|split| Share {
                service: split.service,
                weight: split.weight,
            })
            .collect(),
    };
    Ok(Arc::new(Route {
        name: document.name,
        host: document.hostname,
        prefix: document.path_prefix,
        retry_policy,
        streaming,
        timeout: millis(document.timeout_ms),
        target_latency: millis(document.target_latency_ms),
        gap_target: document.gap_target_ms.map(millis),
        priority: document.priority,
        shares,
        max_attempts: document.max_attempts.unwrap_or(1).max(1),
        anonymous: document.anonymous,
    }))
}

fn service(document: ServiceDocument) -> Service {
    Service {
        name: document.name,
        max_connections: document.max_connections.unwrap_or(u32::MAX),
        cold_rate: document.cold_per_s,
        engine: document.engine.map(|engine| Engine {
            slots: engine.slots,
            memory_tokens: engine.kv_capacity,
        }),
        scale: document.scale_limits.map(|limits| Scale {
            min: limits.min,
            max: limits.max,
            boot_time: millis(limits.boot_s * 1_000.0),
            spot_price: limits.spot_price,
            prices: limits.zone_prices,
        }),
    }
}

fn limits(document: LimitsDocument) -> Limits {
    let default = Limits::default();
    Limits {
        header_bytes: document.max_header_bytes.unwrap_or(default.header_bytes),
        body_bytes: document.max_body_bytes.unwrap_or(default.body_bytes),
        header_timeout: document
            .header_timeout_ms
            .map_or(default.header_timeout, millis),
        idle_timeout: document
            .idle_timeout_ms
            .map_or(default.idle_timeout, millis),
    }
}

fn account(document: TenantDocument) -> Account {
    let limited = document.rate_per_s > 0.0;
    Account {
        name: document.name,
        keys: document.api_keys,
        priority: document.priority,
        quota: limited.then(|| Quota {
            rate: document.rate_per_s,
            burst: document.burst,
            counts_tokens: document.unit.as_deref() == Some("tokens"),
            plain_tokens: document.plain_tokens,
        }),
    }
}
