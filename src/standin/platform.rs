use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::clock::Millis;
use crate::endpoint::Host;
use crate::provider::Reclaim;

use super::reply;
use super::starts::Starts;

/// Injected faults of the platform's host list and cloud API.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses reads of the host list and of the notices, and starts of hosts.
    pub down: bool,
    /// Refuses reads of the host list.
    pub hosts_down: bool,
    /// Refuses reads of the reclaim notices.
    pub notices_down: bool,
    /// Delay of reads of the host list and of the notices.
    pub delay_ms: Millis,
    /// Delay until a change of the host list becomes visible.
    pub lag_ms: Millis,
    /// Refuses to start hosts.
    pub refuse_starts: bool,
    /// Number of starts that take effect but whose response is lost.
    pub lose_start_answers: u32,
    /// Minimum time between two fetches that the weight store serves; 0 means no limit.
    pub fetch_interval_ms: Millis,
}

/// The platform's host list and cloud API.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    hosts: Arc<Mutex<Vec<Host>>>,
    notices: Arc<Mutex<Vec<Reclaim>>>,
    faults: Arc<Mutex<PlatformFaults>>,
    starts: Starts,
}

impl Platform {
    /// Creates a platform that lists these hosts.
    #[must_use]
    pub fn new(hosts: Vec<Host>) -> Self {
        Self {
            hosts: Arc::new(Mutex::new(hosts)),
            notices: Arc::default(),
            faults: Arc::default(),
            starts: Starts::default(),
        }
    }

    /// Returns the filter that serves the HTTP interface.
    ///
    /// `PUT /hosts` and `PUT /notices` replace the host list and the reclaim notices.
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
            .then(|this: Self| async move {
                let faults = this.begin_request().await;
                this.list(faults.down || faults.hosts_down, &this.hosts)
            })
            .boxed();
        let replace = warp::path!("hosts")
            .and(warp::put())
            .and(warp::body::json())
            .and(with.clone())
            .map(|hosts: Vec<Host>, this: Self| this.replace_hosts(hosts))
            .boxed();
        let notices = warp::path!("notices")
            .and(warp::get())
            .and(with.clone())
            .then(|this: Self| async move {
                let faults = this.begin_request().await;
                this.list(faults.down || faults.notices_down, &this.notices)
            })
            .boxed();
        let replace_notices = warp::path!("notices")
            .and(warp::put())
            .and(warp::body::json())
            .and(with.clone())
            .map(|notices: Vec<Reclaim>, this: Self| {
                *this.notices.lock().expect("notices lock") = notices;
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
            .or(self.starts.filter(&self.faults))
            .unify()
            .or(notices)
            .unify()
            .or(replace_notices)
            .unify()
            .or(faults)
            .unify()
            .recover(super::recover)
            .unify()
    }

    /// Waits for the injected delay and returns the faults.
    async fn begin_request(&self) -> PlatformFaults {
        let faults = self.faults.lock().expect("faults lock").clone();
        tokio::time::sleep(faults.delay_ms.into()).await;
        faults
    }

    /// Returns a list, or an error when `down` is set.
    fn list<T>(&self, down: bool, items: &Mutex<Vec<T>>) -> Result<super::JsonReply, Infallible>
    where
        T: Serialize,
    {
        if down {
            return super::unavailable();
        }
        reply(StatusCode::OK, &*items.lock().expect("list lock"))
    }

    /// Replaces the host list, after `lag_ms` if that is set.
    fn replace_hosts(&self, hosts: Vec<Host>) -> Result<super::JsonReply, Infallible> {
        let lag = self.faults.lock().expect("faults lock").lag_ms;
        let list = Arc::clone(&self.hosts);
        if lag == Millis::ZERO {
            *list.lock().expect("hosts lock") = hosts;
        } else {
            tokio::spawn(async move {
                tokio::time::sleep(lag.into()).await;
                *list.lock().expect("hosts lock") = hosts;
            });
        }
        reply(StatusCode::OK, &serde_json::json!({}))
    }
}
