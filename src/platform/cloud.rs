use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind};
use crate::gateway::{Cloud, Holder, Order, OrderOutcome};
use crate::transport::Client;

use super::http;

/// Timeout of a call. Another node may take over the lease only after a longer time, so that no
/// call of a former holder is still under way.
const CALL_TIMEOUT: Millis = Millis(700);

const HOLDER_HEADER: &str = "x-almondpath-duty-holder";
const FENCING_TOKEN_HEADER: &str = "x-almondpath-fence-token";

/// The platform's API for the duties, over HTTP.
#[derive(Debug)]
pub struct CloudApi {
    address: SocketAddr,
    client: Client,
}

impl CloudApi {
    /// Creates a client of the API at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(CALL_TIMEOUT),
        }
    }

    /// Posts `body` as JSON on behalf of the holder and returns the status.
    async fn post<B>(&self, path: &str, holder: &Holder, body: &B) -> Result<StatusCode, Error>
    where
        B: Serialize + Sync,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?;
        let headers = [
            (HOLDER_HEADER, holder.node.to_string()),
            (FENCING_TOKEN_HEADER, holder.fence.to_string()),
        ];
        let call = http::call(
            &self.client,
            Method::POST,
            self.address,
            path,
            &headers,
            body.into(),
        );
        Ok(call.await?.status)
    }
}

/// Body of `POST /usage`.
#[derive(Serialize)]
struct UsageBody<'a> {
    /// Number of the usage window.
    window_id: u64,
    counts: &'a BTreeMap<Arc<str>, u64>,
}

/// Body of `POST /scale`.
#[derive(Serialize)]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

#[async_trait]
impl Cloud for CloudApi {
    async fn usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<Arc<str>, u64>,
    ) -> Result<(), Error> {
        let body = UsageBody {
            window_id: window,
            counts,
        };
        match self.post("/usage", holder, &body).await? {
            StatusCode::OK => Ok(()),
            status => Err(http::unexpected_status("usage report", status)),
        }
    }

    async fn scale(
        &self,
        holder: &Holder,
        order: &Order,
        desired: u32,
    ) -> Result<OrderOutcome, Error> {
        let body = ScaleBody {
            service: &order.service,
            zone: &order.domain,
            desired,
            spot: order.spot,
        };
        match self.post("/scale", holder, &body).await? {
            StatusCode::OK => Ok(OrderOutcome::Accepted),
            StatusCode::CONFLICT => Ok(OrderOutcome::Unavailable),
            status => Err(http::unexpected_status("scaling order", status)),
        }
    }
}
