use std::net::SocketAddr;

use crate::platform::{Caller, Gateway, Request};

/// Where clients come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    /// A route, with a valid key.
    Route,
    /// A route, without a key.
    Keyless,
    /// A path without a route.
    NoRoute,
    /// The address of the readiness check.
    Ready,
    /// The address of the directory.
    Directory,
}

impl Door {
    pub(crate) const ALL: [Self; 5] = [
        Self::Route,
        Self::Keyless,
        Self::NoRoute,
        Self::Ready,
        Self::Directory,
    ];

    pub(crate) fn address(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Self::Route | Self::Keyless | Self::NoRoute => gateway.front,
            Self::Ready => gateway.ready,
            Self::Directory => gateway.directory,
        }
    }

    const fn path(self) -> &'static str {
        match self {
            Self::Route | Self::Keyless => "/safe/x",
            Self::NoRoute => "/none/x",
            Self::Ready => "/api/readiness",
            Self::Directory => "/api/resolve?name=h.example&region=r&zone=a",
        }
    }

    /// Returns a request's line and headers, without the empty line.
    pub(crate) fn head(self, method: &str) -> String {
        let key = if self == Self::Route {
            "X-Api-Key: key-one\r\n"
        } else {
            ""
        };
        format!(
            "{method} {} HTTP/1.1\r\nHost: h.example\r\n{key}X-Almondpath-Attempt-Id: h\r\n",
            self.path()
        )
    }

    /// Returns a whole request, shorter than most of its responses.
    pub(crate) fn short_request(self) -> String {
        let key = if self == Self::Route {
            "X-Api-Key:key-one\r\n"
        } else {
            ""
        };
        format!(
            "GET {} HTTP/1.1\r\nHost:h.example\r\n{key}\r\n",
            self.path()
        )
    }

    /// Returns whether an ordinary request at this door, and one at a route, are served.
    pub(crate) async fn serves(self, gateway: &Gateway) -> bool {
        let asked = match self {
            Self::Route | Self::Keyless | Self::NoRoute => Self::Route,
            other => other,
        };
        for door in [asked, Self::Route] {
            let mut request = Request::new(door.path());
            request.body = "";
            let response = Caller(door.address(gateway)).send(&request).await;
            if !response.is_some_and(|response| response.status == 200 && response.complete) {
                return false;
            }
        }
        true
    }
}
