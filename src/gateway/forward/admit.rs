use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, header};
use rand::Rng;
use slog::info;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Millis;
use crate::gateway::activity::limits;
use crate::gateway::node::Active;
use crate::gateway::{
    Account, Denial, Node, Prompt, Reason, Refusal, RequestMetadata, Route,
    quota::{self, Ask, Charge, Profile},
};

use super::attempts::Attempts;
use super::call::Call;
use super::reservation::InflightGuard;
use super::upload::Upload;

/// Time reserved for the response to travel back to the caller before the caller's timeout.
const RESPONSE_MARGIN: Millis = Millis(10);

/// Part of the time left, as its inverse, after which a caller sends a refused request again at the latest.
const CALLER_WAIT_FRACTION: u64 = 3;

/// Part of a route's target latency, as its inverse, by which a refused request has to be back to be
/// answered on target.
const RETURN_FRACTION: u64 = 2;

/// `Retry-After` of a node that has no configuration or too many requests in flight.
pub(super) const OVERLOAD_RETRY_AFTER: Millis = Millis(400);

/// `Retry-After` of a node that shuts down: other nodes can serve the request at once.
pub(super) const LEAVING_RETRY_AFTER: Millis = Millis(10);

/// The configuration, route and client account that a request resolved to.
struct Admission {
    active: Arc<Active>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// A request that failed admission, with the quota decision if there was one.
struct Refused {
    refusal: Refusal,
    quota: Option<OverQuota>,
}

/// The decision that a request exceeds the quota of its client account.
struct OverQuota {
    account: Arc<str>,
    /// Quota units that the request costs.
    units: f64,
    denial: Denial,
    decider: quota::Decider,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            quota: None,
        }
    }
}

/// Reads a caller's request, resolves its route and checks its key and quota.
///
/// # Errors
///
/// Returns the refusal to respond with, after logging the request.
pub(super) async fn admit(
    node: &Arc<Node>,
    request: Request<Incoming>,
    arrived: Millis,
    inflight: InflightGuard,
) -> Result<Call, Refusal> {
    let (head, body) = request.into_parts();
    let mut upload = Upload::new(node, &head, body);
    let metadata = node.dialect.parse_request(&head.headers);
    let read = tokio::select! {
        read = read_request(node, &metadata, &head, &mut upload, arrived) => read,
        () = node.ending.cancelled() => Err(leaving().into()),
    };
    let (admission, charge, service, body) = match read {
        Ok(read) => read,
        Err(refused) => {
            refused.report(node, metadata.id.as_deref(), arrived);
            upload.discard(limits(node).body_bytes);
            return Err(refused.refusal);
        }
    };
    let deadline = deadline(&admission.route, &metadata, arrived);
    Ok(Call {
        node: Arc::clone(node),
        metadata,
        route: admission.route,
        service,
        account: admission.account,
        charge,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        arrived,
        deadline,
        config_version: admission.active.config.version,
        attempts: Attempts::default().into(),
        reported: AtomicBool::new(false),
        _inflight: inflight,
    })
}

async fn read_request(
    node: &Arc<Node>,
    metadata: &RequestMetadata,
    head: &Parts,
    upload: &mut Upload,
    arrived: Millis,
) -> Result<(Admission, Option<Charge>, Arc<str>, Bytes), Refused> {
    let preliminary = resolve(node, metadata, head)?;
    check_departure(node, &preliminary.route, metadata, arrived)?;
    if node.requests.load(Ordering::Relaxed) > node.settings.max_requests {
        let refusal = Refusal::new(Reason::Overload);
        return Err(refusal.with_retry_after(OVERLOAD_RETRY_AFTER).into());
    }
    upload.admit();
    let limit = preliminary.active.config.limits.body_bytes;
    let timeout = metadata.timeout.unwrap_or(preliminary.route.timeout);
    if let Some(delay) = node.quarantined_for(metadata.prompt.as_ref()) {
        return Err(Refusal::new(Reason::Quarantined)
            .with_retry_after(delay)
            .into());
    }
    let body = upload
        .read(limit, timeout.min(preliminary.route.timeout))
        .await?;
    // Reading the body may have taken long; the configuration in force now decides.
    let admission = resolve(node, metadata, head)?;
    check_departure(node, &admission.route, metadata, arrived)?;
    let due = deadline(&admission.route, metadata, arrived);
    let profile = || profile(&admission.route, head, &body, due - node.clock.now());
    let charge = take_quota(node, admission.account.as_ref(), metadata, profile).await?;
    let service = admission.route.pick_service(rand::rng().random());
    let service = service.cloned().ok_or(Refusal::new(Reason::NoEndpoint))?;
    Ok((admission, charge, service, body))
}

/// Returns when the final response to a request is due, by the caller's timeout or the route's.
fn deadline(route: &Route, metadata: &RequestMetadata, arrived: Millis) -> Millis {
    let caller_timeout = metadata.timeout.unwrap_or(route.timeout);
    arrived + route.timeout.min(caller_timeout - RESPONSE_MARGIN)
}

/// Refuses a request that this node may not be able to answer before it ends.
fn check_departure(
    node: &Node,
    route: &Route,
    metadata: &RequestMetadata,
    arrived: Millis,
) -> Result<(), Refusal> {
    let Some(departure) = node.departure() else {
        return Ok(());
    };
    let deadline = deadline(route, metadata, arrived);
    if departure.may_take(route.retry_policy, deadline, node.clock.now()) {
        return Ok(());
    }
    Err(leaving())
}

fn leaving() -> Refusal {
    Refusal::new(Reason::Leaving).with_retry_after(LEAVING_RETRY_AFTER)
}

/// Resolves the route and the client account of a request in the configuration in force.
fn resolve(node: &Node, metadata: &RequestMetadata, head: &Parts) -> Result<Admission, Refusal> {
    let no_config = Refusal::new(Reason::NoConfig).with_retry_after(OVERLOAD_RETRY_AFTER);
    let active = node.active.load_full().ok_or(no_config)?;
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let route = active.config.route(host, head.uri.path());
    let route = route.cloned().ok_or(Refusal::new(Reason::NoRoute))?;
    let account = account(&active, &route, metadata)?;
    Ok(Admission {
        active,
        route,
        account,
    })
}

fn account(
    active: &Active,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Arc<Account>>, Refusal> {
    if route.anonymous || !active.config.has_accounts() {
        return Ok(None);
    }
    let account = metadata
        .api_key
        .as_ref()
        .and_then(|key| active.config.account_by_key(key));
    account
        .cloned()
        .map(Some)
        .ok_or(Refusal::new(Reason::UnknownKey))
}

/// Returns what decides on the place of a request among those of its account.
fn profile(route: &Route, head: &Parts, body: &Bytes, time_left: Millis) -> Profile {
    let caller_wait = Millis(time_left.0 / CALLER_WAIT_FRACTION);
    let path = xxh3_64(head.uri.path().as_bytes());
    let ticket = || xxh3_64_with_seed(body, path);
    Profile {
        kind: xxh3_64(route.name.as_bytes()),
        priority: route.priority,
        ticket: (!body.is_empty()).then(ticket),
        patience: caller_wait.min(Millis(route.target_latency.0 / RETURN_FRACTION)),
    }
}

/// Takes the cost of a request from the quota of its account, if it has one.
async fn take_quota<F>(
    node: &Arc<Node>,
    account: Option<&Arc<Account>>,
    metadata: &RequestMetadata,
    profile: F,
) -> Result<Option<Charge>, Refused>
where
    F: FnOnce() -> Profile,
{
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota.as_ref()?))) else {
        return Ok(None);
    };
    let cost = quota.cost(metadata.prompt.as_ref().map(Prompt::total_tokens));
    let ask = Ask {
        units: cost,
        profile: Some(profile()),
    };
    let taken = quota::take(node, account, quota, &ask).await;
    let charge = |decider| Charge {
        units: cost,
        decider,
    };
    taken
        .map(charge)
        .map(Some)
        .map_err(|(denial, decider)| Refused {
            refusal: Refusal::new(Reason::Quota).with_retry_after(denial.retry_after),
            quota: Some(OverQuota {
                account: Arc::clone(&account.name),
                units: cost,
                denial,
                decider,
            }),
        })
}

impl Refused {
    /// Logs and counts the request.
    fn report(&self, node: &Node, id: Option<&str>, arrived: Millis) {
        let reason = self.refusal.reason.as_str();
        metrics::counter!("almondpath_requests_total", "outcome" => reason).increment(1);
        let over = self.quota.as_ref();
        info!(node.log, "request"; "id" => id.unwrap_or("-"), "outcome" => reason,
            "status" => self.refusal.reason.status().as_u16(),
            "account" => over.map(|over| &*over.account),
            "units" => over.map(|over| over.units),
            "level" => over.map(|over| over.denial.level as i64),
            "headroom" => over.map(|over| over.denial.headroom as i64),
            "rate" => over.map(|over| over.denial.rate as i64),
            "promised" => over.map(|over| over.denial.is_promised),
            "decider" => over.map(|over| format!("{:?}", over.decider)),
            "retry_after_ms" => self.refusal.retry_after.map(|delay| delay.0),
            "config" => node.active.load().as_ref().map(|active| active.config.version),
            "ms" => (node.clock.now() - arrived).0);
    }
}
