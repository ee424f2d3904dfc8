use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, header};
use rand::Rng;
use slog::info;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::gateway::node::Active;
use crate::gateway::{
    Account, Denial, Node, Prompt, Reason, Refusal, RequestMetadata, Route, quota,
};

use super::call::Call;
use super::ticket::Served;
use super::tries::Tries;

/// Time by which an answer is given before the caller's patience ends, for its way back.
const WAY_BACK: Millis = Millis(10);

/// Time after which a caller comes back to a node that has no configuration or too many requests.
const NOT_NOW_DELAY: Millis = Millis(400);

/// What the configuration says about a request.
struct Admission {
    active: Arc<Active>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// A request that is refused before it is admitted, with what decided it.
struct Refused {
    refusal: Refusal,
    quota: Option<OverQuota>,
}

/// What decided that a request is over the quota of its client account.
struct OverQuota {
    account: Arc<str>,
    /// Units that it asked for.
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

/// Reads and admits a request of a caller.
pub(super) async fn admit(
    node: &Arc<Node>,
    request: Request<Incoming>,
    arrived: Millis,
    served: Served,
) -> Result<Call, Refusal> {
    let (head, body) = request.into_parts();
    let ask = node.dialect.parse_request(&head.headers);
    let read = read(node, &ask, &head, body).await;
    let (admission, service, body) = read.map_err(|refused| {
        refused.report(node, ask.id.as_deref(), arrived);
        refused.refusal
    })?;
    let timeout = admission.route.timeout;
    let patience = ask.timeout.unwrap_or(timeout);
    let limit = timeout.min(Millis(patience.0.saturating_sub(WAY_BACK.0)));
    Ok(Call {
        node: Arc::clone(node),
        ask,
        route: admission.route,
        service,
        account: admission.account,
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        arrived,
        limit: arrived + limit,
        config: admission.active.config.version,
        tries: Tries::default().into(),
        reported: AtomicBool::new(false),
        _served: served,
    })
}

async fn read(
    node: &Arc<Node>,
    ask: &RequestMetadata,
    head: &Parts,
    body: Incoming,
) -> Result<(Admission, Arc<str>, Bytes), Refused> {
    let before = look_up(node, ask, head)?;
    if node.requests.load(Ordering::Relaxed) > node.settings.max_requests {
        let refusal = Refusal::new(Reason::Overload);
        return Err(refusal.with_retry_after(NOT_NOW_DELAY).into());
    }
    let limit = before.active.config.limits.body_bytes;
    let patience = ask.timeout.unwrap_or(before.route.timeout);
    let body = read_body(body, limit, patience.min(before.route.timeout)).await?;
    // The body may have taken long: what is in force now decides.
    let admission = look_up(node, ask, head)?;
    take_quota(node, admission.account.as_ref(), ask).await?;
    let service = admission.route.pick_service(rand::rng().random());
    let service = service.cloned().ok_or(Refusal::new(Reason::NoEndpoint))?;
    Ok((admission, service, body))
}

/// Finds the route and the client account of a request in the configuration in force.
fn look_up(node: &Node, ask: &RequestMetadata, head: &Parts) -> Result<Admission, Refusal> {
    let no_config = Refusal::new(Reason::NoConfig).with_retry_after(NOT_NOW_DELAY);
    let active = node.active.load_full().ok_or(no_config)?;
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let route = active.config.route(host, head.uri.path());
    let route = route.cloned().ok_or(Refusal::new(Reason::NoRoute))?;
    let account = account(&active, &route, ask)?;
    Ok(Admission {
        active,
        route,
        account,
    })
}

fn account(
    active: &Active,
    route: &Route,
    ask: &RequestMetadata,
) -> Result<Option<Arc<Account>>, Refusal> {
    if route.anonymous || !active.config.has_accounts() {
        return Ok(None);
    }
    let account = ask
        .api_key
        .as_ref()
        .and_then(|key| active.config.account_by_key(key));
    account
        .cloned()
        .map(Some)
        .ok_or(Refusal::new(Reason::UnknownKey))
}

async fn read_body(body: Incoming, limit: usize, patience: Millis) -> Result<Bytes, Refusal> {
    match timeout(patience.into(), Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::new(Reason::Malformed)),
        Err(_) => Err(Refusal::new(Reason::SlowCaller)),
    }
}

async fn take_quota(
    node: &Arc<Node>,
    account: Option<&Arc<Account>>,
    ask: &RequestMetadata,
) -> Result<(), Refused> {
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota.as_ref()?))) else {
        return Ok(());
    };
    let cost = quota.cost(ask.prompt.as_ref().map(Prompt::total_tokens));
    let taken = quota::take(node, account, quota, cost).await;
    taken.map_err(|(denial, decider)| Refused {
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
    /// Writes the line of the request.
    fn report(&self, node: &Node, id: Option<&str>, arrived: Millis) {
        let reason = self.refusal.reason.as_str();
        metrics::counter!("almondpath_requests_total", "outcome" => reason).increment(1);
        let over = self.quota.as_ref();
        info!(node.log, "request"; "id" => id.unwrap_or("-"), "outcome" => reason,
            "status" => self.refusal.reason.status().as_u16(),
            "account" => over.map(|over| &*over.account),
            "units" => over.map(|over| over.units),
            "level" => over.map(|over| over.denial.level as i64),
            "rate" => over.map(|over| over.denial.rate as i64),
            "decider" => over.map(|over| format!("{:?}", over.decider)),
            "retry_after_ms" => self.refusal.retry_after.map(|delay| delay.0),
            "config" => node.active.load().as_ref().map(|active| active.config.version),
            "ms" => (node.clock.now() - arrived).0);
    }
}
