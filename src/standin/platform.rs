use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::endpoint::Host;

use super::reply;

/// Faults of the platform's host list and cloud API.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses every request.
    pub down: bool,
    /// Refuses to start hosts.
    pub refuse_starts: bool,
}

/// The platform's host list and cloud API.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    hosts: Arc<Mutex<Vec<Host>>>,
    faults: Arc<Mutex<PlatformFaults>>,
}

impl Platform {
    /// Creates a platform with these hosts.
    #[must_use]
    pub fn new(hosts: Vec<Host>) -> Self {
        Self {
            hosts: Arc::new(Mutex::new(hosts)),
            faults: Arc::default(),
        }
    }

    /// Returns the HTTP interface; `PUT /hosts` replaces the host list.
    pub fn filter(
        &self,
    ) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
    + Clone
    + Send
    + Sync
    + 'static
    + use<> {
        let this = self.clone();
        let with = warp::any().map(move || this.clone());
        let list = warp::path!("hosts")
            .and(warp::get())
            .and(with.clone())
            .map(|this: Self| this.list())
            .boxed();
        let replace = warp::path!("hosts")
            .and(warp::put())
            .and(warp::body::json())
            .and(with.clone())
            .map(|hosts: Vec<Host>, this: Self| {
                *this.hosts.lock().expect("hosts lock") = hosts;
                reply(StatusCode::OK, &serde_json::json!({}))
            })
            .boxed();
        let faults = warp::path!("faults")
            .and(warp::post())
            .and(warp::body::json())
            .and(with)
            .map(|faults: PlatformFaults, this: Self| {
                *this.faults.lock().expect("faults lock") = faults;
                reply(StatusCode::OK, &serde_json::json!({}))
            })
            .boxed();
        list.or(replace)
            .unify()
            .or(faults)
            .unify()
            .recover(super::recover)
            .unify()
    }

    fn list(&self) -> Result<super::Answer, Infallible> {
        if self.faults.lock().expect("faults lock").down {
            return super::unavailable();
        }
        reply(StatusCode::OK, &*self.hosts.lock().expect("hosts lock"))
    }
}
