use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::{Entry, Offset, Service};

/// What one read of a stream brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records in offset order from the requested offset on.
    Records {
        /// The records; none when the wait ended first.
        records: Vec<Entry>,
        /// Offset after the newest record of the stream.
        end: Offset,
    },
    /// Records at the requested offset have expired.
    Gap {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
    },
}

/// A reader that follows one stream by long polls.
#[derive(Clone, Copy, Debug)]
pub struct Tail<'a, S> {
    service: &'a S,
    stream: &'a str,
    limit: usize,
}

impl<'a, S> Tail<'a, S>
where
    S: Service,
{
    /// Creates a reader that takes up to `limit` records at a time.
    #[must_use]
    pub fn new(service: &'a S, stream: &'a str, limit: usize) -> Self {
        Self {
            service,
            stream,
            limit,
        }
    }

    /// Reads from an offset on; waits up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer, or when the stream ends before `from`, which means
    /// that the service has lost records.
    pub async fn read(&self, from: Offset, wait: Millis) -> Result<Read, Error> {
        let page = self
            .service
            .read(self.stream, from, self.limit, wait)
            .await?;
        if page.end < from {
            return Err(Error::not_run(
                ErrorKind::LogUnavailable,
                format!("{} ends at {}, before {from}", self.stream, page.end),
            ));
        }
        if page.earliest > from {
            return Ok(Read::Gap {
                earliest: page.earliest,
            });
        }
        Ok(Read::Records {
            records: page.records,
            end: page.end,
        })
    }
}
