use crate::clock::Millis;
use crate::error::{Error, ErrorKind};

use super::{Entry, Offset, Service};

/// The outcome of one read of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records in offset order from the requested offset on.
    Records {
        /// The records; empty if none arrived before the wait ended.
        records: Vec<Entry>,
        /// Offset after the newest record of the stream.
        end: Offset,
    },
    /// The records at the requested offset are no longer retained.
    Gap {
        /// Offset of the oldest record that is retained.
        earliest: Offset,
    },
}

/// A reader that follows one stream by long polling.
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
    /// Creates a reader that reads up to `limit` records at a time.
    #[must_use]
    pub fn new(service: &'a S, stream: &'a str, limit: usize) -> Self {
        Self {
            service,
            stream,
            limit,
        }
    }

    /// Reads from the offset `from` on, waiting up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond, or if the stream ends before `from`, which means that
    /// the service has lost records.
    pub async fn read(&self, from: Offset, wait: Millis) -> Result<Read, Error> {
        let page = self
            .service
            .read(self.stream, from, self.limit, wait)
            .await?;
        if page.end < from {
            return Err(Error::not_run(
                ErrorKind::LogUnavailable,
                format!(
                    "stream {} ends at offset {}, before the requested offset {from}",
                    self.stream, page.end
                ),
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
