use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::clock::Millis;
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

/// A sequence of server-sent events.
pub type Events = Pin<Box<dyn Stream<Item = Result<Event, Error>> + Send>>;

/// Reads server-sent events from a response body; keep-alive comments are skipped.
pub fn events(body: Incoming) -> Events {
    let frames = body.into_data_stream();
    parse(frames.map(|frame| frame.map_err(|error| error.to_string())))
}

/// As [`events`], and fails when no byte arrives for `silence`; keep-alive comments count.
pub fn events_with_idle_timeout(body: Incoming, silence: Millis) -> Events {
    let frames = body.into_data_stream();
    parse(futures::stream::unfold(
        Some(frames),
        move |frames| async move {
            let mut frames = frames?;
            match timeout(silence.into(), frames.next()).await {
                Ok(frame) => {
                    let frame = frame?.map_err(|error| error.to_string());
                    Some((frame, Some(frames)))
                }
                Err(_) => Some((Err(format!("nothing for {silence}")), None)),
            }
        },
    ))
}

fn parse<S>(frames: S) -> Events
where
    S: Stream<Item = Result<Bytes, String>> + Send + 'static,
{
    Box::pin(frames.eventsource().map(|item| {
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
    }))
}
