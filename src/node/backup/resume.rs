use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use uuid::Uuid;
use warp::reply::Response;

use crate::error::{Error, ErrorKind};
use crate::node::{Node, response};
use crate::stream::{Cursor, Entry, Phase};

/// Continues a response after what the caller has already received, which `cursor` describes.
///
/// A caller may ask any node. A node without the response redirects it to one that has it. A node
/// with the backup copy redirects it to the owner, and takes over if the owner no longer serves the
/// response.
///
/// # Errors
///
/// Fails with [`ErrorKind::NotFound`] if no node knows a request of this client account with this
/// id.
pub(in crate::node) async fn resume(
    node: &Arc<Node>,
    id: Uuid,
    account: &Arc<str>,
    cursor: Cursor,
) -> Result<Response, Error> {
    let entry = node.streams.get(id);
    if let Some(entry) = entry.filter(|entry| entry.request().account == *account) {
        return Ok(node.respond(&entry, cursor).await);
    }
    match node.locate(id, account).await {
        Some(address) => Ok(response::moved(&[address])),
        None => Err(Error::may_have_run(
            ErrorKind::NotFound,
            format!("unknown request {id}"),
        )),
    }
}

impl Node {
    /// Continues a response of which this node is the owner or stores a copy.
    async fn respond(self: &Arc<Self>, entry: &Arc<Entry>, cursor: Cursor) -> Response {
        if let Some(owner) = entry.owner()
            && entry.phase() == Phase::Running
        {
            let results = self.find_at(&owner, vec![entry.request().id], None).await;
            let found = results.and_then(|results| *results.first()?);
            if found.is_some_and(|found| found.serves) {
                return response::moved(&[owner.listen]);
            }
            self.take_over(entry, "caller");
        }
        response::follow(entry.follow(), cursor)
    }

    /// Returns the address of the node that serves a response, or else of one with a copy.
    async fn locate(self: &Arc<Self>, id: Uuid, account: &Arc<str>) -> Option<SocketAddr> {
        let nodes = self.lookup_nodes(id);
        let mut lookups: FuturesUnordered<_> = nodes
            .iter()
            .map(|node| self.find_at(node, vec![id], Some(Arc::clone(account))))
            .collect();
        let mut copy = None;
        while let Some(results) = lookups.next().await {
            let Some(found) = results.and_then(|results| *results.first()?) else {
                continue;
            };
            if found.serves {
                return Some(found.address);
            }
            copy = Some(found.address);
        }
        copy
    }
}
