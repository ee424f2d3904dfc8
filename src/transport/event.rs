use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind};

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's name, for example `chunk`.
    pub name: String,
    /// The event's data, a JSON document.
    pub data: String,
}

impl Event {
    /// Parses the data.
    ///
    /// # Errors
    ///
    /// `EndpointFailed` when the data does not match `T`.
    pub fn parse<T>(&self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_str(&self.data).map_err(|error| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("unexpected `{}` event: {error}", self.name),
            )
        })
    }
}

/// Reads server-sent events from a response body; keep-alive comments are skipped.
pub fn events(body: Incoming) -> Pin<Box<dyn Stream<Item = Result<Event, Error>> + Send>> {
    let frames = body.into_data_stream();
    Box::pin(
        frames
            .map(|frame| frame.map(|data: Bytes| data))
            .eventsource()
            .map(|item| {
                item.map(|event| Event {
                    name: event.event,
                    data: event.data,
                })
                .map_err(|error| {
                    Error::may_have_run(
                        ErrorKind::EndpointFailed,
                        format!("the event stream was cut off: {error}"),
                    )
                })
            }),
    )
}
