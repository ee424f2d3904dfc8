use std::sync::Arc;

use uuid::Uuid;

use crate::clock::Millis;
use crate::config::Config;
use crate::error::{Error, ErrorKind};
use crate::log::{Offset, Service};

use super::{Outcome, Projection, Reader, Record, STREAM};

/// Maximum number of records in one read of the stream.
const MAX_RECORDS_PER_READ: usize = 256;

/// Maximum number of reads of the stream after the append; a record that takes effect late still
/// appears within them.
const MAX_READS: usize = 5;

/// Pause between two of these reads, and the delay after which a failed call may be retried.
const READ_INTERVAL: Millis = Millis(500);

/// Publishes a configuration and returns its version.
///
/// `known` is a state of the stream to start from. `base` is the version from which the
/// configuration was made; without it, the active version is used. Whether the configuration was
/// published is determined by reading the stream, never by the response to the append.
///
/// # Errors
///
/// `Malformed` when the configuration is not valid, `Conflict` when another version was published
/// first, and `LogUnavailable` when the log service does not respond or no longer has the records
/// that determine the active version; its verdict is "may have run" when the record may still
/// appear.
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
    let unavailable = |error: Error| {
        Error::not_run(ErrorKind::LogUnavailable, error.message()).with_retry_after(READ_INTERVAL)
    };
    read_all(log, &mut reader, None)
        .await
        .map_err(unavailable)?;
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
    for _ in 0..MAX_READS {
        match read_all(log, &mut reader, Some(id)).await {
            Ok(Some((offset, Outcome::Applied))) => return Ok(offset),
            Ok(Some((_, Outcome::Rejected(reason)))) => {
                return Err(Error::not_run(ErrorKind::Conflict, reason));
            }
            Ok(None) | Err(_) => tokio::time::sleep(READ_INTERVAL.into()).await,
        }
    }
    let reason = appended.map_or_else(|error| error.message().to_owned(), |at| format!("at {at}"));
    let message = format!("the record has not appeared in the log: {reason}");
    Err(Error::may_have_run(ErrorKind::LogUnavailable, message))
}

/// Applies the records up to the end of the stream, and returns the offset and outcome of the
/// publish record `id` if it is among them.
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
            .read(
                STREAM,
                reader.next_offset(),
                MAX_RECORDS_PER_READ,
                Millis::ZERO,
            )
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
