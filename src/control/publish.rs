use std::sync::Arc;

use uuid::Uuid;

use crate::clock::Millis;
use crate::config::Config;
use crate::error::{Error, ErrorKind};
use crate::log::{Offset, Service};

use super::{Outcome, Projection, Reader, Record, STREAM};

const READ_LIMIT: usize = 256;

/// Reads of the stream after the append; a late append appears within this many of them.
const READS: usize = 5;

/// Time that one of these reads waits for a record.
const READ_WAIT: Millis = Millis(500);

/// Publishes a configuration and returns its version.
///
/// `known` is a state of the stream to start from. `base` is the version that the configuration was
/// made from; without it, the active version is taken. Whether the configuration was published is decided by reading the stream, never by the
/// response to the append.
///
/// # Errors
///
/// `Malformed` when the configuration is not valid, `Conflict` when another version was published
/// first, and `LogUnavailable` when the log service does not answer or no longer has the records to
/// tell the active version; its verdict is "may have run" when the record may still appear.
pub async fn publish<S>(
    log: &S,
    known: Projection,
    operator: &str,
    base: Option<Offset>,
    config: Config,
) -> Result<Offset, Error>
where
    S: Service,
{
    if let Some(issue) = config.validate().first() {
        let message = format!("{}: {}", issue.path, issue.message);
        return Err(Error::not_run(ErrorKind::Malformed, message));
    }
    let mut reader = Reader::new(known);
    let before = |error: Error| {
        Error::not_run(ErrorKind::LogUnavailable, error.message()).with_retry_after(READ_WAIT)
    };
    read_all(log, &mut reader, None).await.map_err(before)?;
    if reader.has_gap() {
        let message = "the log no longer has the active configuration; publish through a node";
        return Err(Error::not_run(ErrorKind::LogUnavailable, message));
    }
    let id = Uuid::new_v4();
    let record = Record::Publish {
        id,
        base: base.or_else(|| reader.projection().active().map(|active| active.version)),
        operator: operator.into(),
        config: Box::new(config),
    };
    let text: Arc<str> = serde_json::to_string(&record)
        .map_err(|error| Error::not_run(ErrorKind::Internal, error.to_string()))?
        .into();
    let appended = log.append(STREAM, vec![text]).await;
    for _ in 0..READS {
        match read_all(log, &mut reader, Some(id)).await {
            Ok(Some((offset, Outcome::Applied))) => return Ok(offset),
            Ok(Some((_, Outcome::Rejected(reason)))) => {
                return Err(Error::not_run(ErrorKind::Conflict, reason));
            }
            Ok(None) | Err(_) => tokio::time::sleep(READ_WAIT.into()).await,
        }
    }
    let reason = appended.map_or_else(|error| error.message().to_owned(), |at| format!("at {at}"));
    let message = format!("the record has not appeared in the log: {reason}");
    Err(Error::may_have_run(ErrorKind::LogUnavailable, message))
}

/// Applies the records up to the end of the stream; returns what became of the record `id`.
async fn read_all<S>(
    log: &S,
    reader: &mut Reader,
    id: Option<Uuid>,
) -> Result<Option<(Offset, Outcome)>, Error>
where
    S: Service,
{
    let mut found = None;
    loop {
        let page = log
            .read(STREAM, reader.next_offset(), READ_LIMIT, Millis::ZERO)
            .await?;
        let outcomes = reader.apply(&page);
        for (entry, (offset, outcome)) in page.records.iter().zip(outcomes) {
            if id.is_some_and(|id| is_publish(&entry.data, id)) {
                found.get_or_insert((offset, outcome));
            }
        }
        if reader.next_offset() >= page.end {
            return Ok(found);
        }
    }
}

fn is_publish(text: &str, id: Uuid) -> bool {
    matches!(serde_json::from_str(text), Ok(Record::Publish { id: this, .. }) if this == id)
}
