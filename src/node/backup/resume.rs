use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use uuid::Uuid;
use warp::reply::Response;

use crate::error::{Error, ErrorKind};
use crate::node::{Node, response};
use crate::stream::{Cursor, Entry, Phase};

/// Continues the response to a caller that has received what `cursor` says.
///
/// A caller may come to any node: one that has nothing sends it to the node that serves the
/// response, and the node with the backup copy takes over when that one does not answer.
pub(in crate::node) async fn resume(
    node: &Arc<Node>,
    id: Uuid,
    account: &Arc<str>,
    cursor: Cursor,
) -> Result<Response, Error> {
    let known = node.streams.get(id);
    if let Some(entry) = known.filter(|entry| entry.request().account == *account) {
        return Ok(node.serve(&entry, cursor).await);
    }
    match node.locate(id, account).await {
        Some(address) => Ok(response::moved(&[address])),
        None => Err(Error::may_have_run(
            ErrorKind::NotFound,
            format!("request {id} is not known"),
        )),
    }
}

impl Node {
    async fn serve(self: &Arc<Self>, entry: &Arc<Entry>, cursor: Cursor) -> Response {
        if let Some(owner) = entry.owner()
            && entry.phase() == Phase::Running
        {
            let answers = self.ask(&owner, vec![entry.request().id], None).await;
            let found = answers.and_then(|answers| *answers.first()?);
            if found.is_some_and(|found| found.serves) {
                return response::moved(&[owner.listen]);
            }
            self.take_over(entry, "caller");
        }
        response::follow(entry.follow(), cursor)
    }

    /// Finds the node that serves a response, or one with a copy.
    async fn locate(self: &Arc<Self>, id: Uuid, account: &Arc<str>) -> Option<SocketAddr> {
        let nodes = self.finders(id);
        let mut asks: FuturesUnordered<_> = nodes
            .iter()
            .map(|node| self.ask(node, vec![id], Some(Arc::clone(account))))
            .collect();
        let mut copy = None;
        while let Some(answer) = asks.next().await {
            let Some(found) = answer.and_then(|found| *found.first()?) else {
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
