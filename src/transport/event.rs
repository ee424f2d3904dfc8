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

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's name, for example `chunk`.
    pub name: String,
    /// The event's data, a JSON document.
    pub data: String,
}

impl Event {
    /// Parses the data as JSON.
    ///
    /// # Errors
    ///
    /// `EndpointFailed` if the data does not match `T`.
    pub fn parse<T>(&self) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_str(&self.data).map_err(|error| {
            Error::may_have_run(
                ErrorKind::EndpointFailed,
                format!("unexpected data of `{}` event: {error}", self.name),
            )
        })
    }
}

/// A stream of server-sent events.
pub type Events = Pin<Box<dyn Stream<Item = Result<Event, Error>> + Send>>;

/// Parses a response body as server-sent events; skips keep-alive comments.
pub fn events(body: Incoming) -> Events {
    let frames = body.into_data_stream();
    parse(frames.map(|frame| frame.map_err(|error| error.to_string())))
}

/// Like [`events`], but fails if no data arrives for `idle_timeout`; keep-alive comments count as
/// data.
pub fn events_with_idle_timeout(body: Incoming, idle_timeout: Millis) -> Events {
    let frames = body.into_data_stream();
    parse(futures::stream::unfold(
        Some(frames),
        move |frames| async move {
            let mut frames = frames?;
            match timeout(idle_timeout.into(), frames.next()).await {
                Ok(frame) => {
                    let frame = frame?.map_err(|error| error.to_string());
                    Some((frame, Some(frames)))
                }
                Err(_) => Some((Err(format!("no data for {idle_timeout}")), None)),
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
                format!("the event stream was interrupted: {error}"),
            )
        })
    }))
}
