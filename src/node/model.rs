use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use warp::reply::Response;

use crate::config::Class;
use crate::endpoint::Key;
use crate::error::{Error, ErrorKind};
use crate::stream::{Cursor, ModelRequest};

use super::dispatch::Permit;
use super::request::Request;
use super::{Node, driver, response};

/// Body of a request to a model service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    prompt: Arc<str>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Accepts a request to a model service and streams its response.
pub(super) async fn call(
    node: &Arc<Node>,
    request: Request,
    permit: Permit,
) -> Result<Response, Error> {
    let model_request = parse_request(node, &request)?;
    if let Some(known) = node.streams.get(request.id) {
        // The caller retries because it did not see that its first attempt was accepted.
        return if *known.request()
            == (ModelRequest {
                deadline: known.request().deadline,
                ..model_request
            }) {
            Ok(response::follow(known.follow(), Cursor::default()))
        } else {
            Err(Error::not_run(
                ErrorKind::Conflict,
                "the request id is in use",
            ))
        };
    }
    let entry = node.streams.create(model_request, node.clock.now())?;
    let follower = entry.follow();
    driver::spawn(node, Arc::clone(&entry), Some(permit));
    if let Err(error) = node.replicate(&entry).await {
        entry.set_released(true);
        node.streams.remove(request.id);
        if let Some(source) = entry.source() {
            node.cancel(source);
        }
        return Err(error);
    }
    Ok(response::follow(follower, Cursor::default()))
}

fn parse_request(node: &Node, request: &Request) -> Result<ModelRequest, Error> {
    let body: Body = serde_json::from_slice(&request.body)
        .map_err(|error| Error::not_run(ErrorKind::Malformed, format!("body: {error}")))?;
    let limit = request.route.max_tokens;
    Ok(ModelRequest {
        id: request.id,
        account: Arc::clone(&request.account),
        service: Arc::clone(&request.route.service),
        route: Arc::clone(&request.route.name),
        prompt: body.prompt,
        max_tokens: body.max_tokens.map_or(limit, |tokens| tokens.min(limit)),
        priority: u8::from(request.route.class == Class::Long),
        deadline: node.clock.wall() + (request.deadline - node.clock.now()),
    })
}

impl Node {
    /// Returns the endpoint with this address.
    pub(super) fn endpoint_at(&self, address: SocketAddr) -> Option<Key> {
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        let mut found = endpoints.iter().filter(|(_, e)| e.host.address == address);
        found.next().map(|(key, _)| key)
    }

    /// Returns whether an endpoint is leaving, or is no longer in the host list.
    pub(super) fn is_endpoint_leaving(&self, key: Key) -> bool {
        let endpoints = self.endpoints.lock().expect("endpoints lock");
        endpoints.get(key).is_none_or(|endpoint| endpoint.leaving)
    }

    /// Updates the number of requests in flight at an endpoint when one starts or ends there.
    pub(super) fn count_request(&self, key: Key, starts: bool) {
        let service = {
            let mut endpoints = self.endpoints.lock().expect("endpoints lock");
            endpoints.count_request(key, starts).map(Arc::clone)
        };
        // An endpoint that is no longer in the host list is dropped from the routers together with
        // its counts.
        if let Some(service) = service {
            self.dispatch.count_plain(&service, key, starts);
        }
    }
}
