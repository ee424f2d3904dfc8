use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::Value;

use super::http;

/// A call that a gateway made to perform a duty.
#[derive(Clone, Debug)]
pub(crate) struct DutyCall {
    pub(crate) path: String,
    pub(crate) holder: String,
    pub(crate) fence: u64,
    pub(crate) body: Value,
}

/// Test double of the platform's interface for duties.
#[derive(Clone)]
pub(crate) struct Cloud {
    pub(crate) address: SocketAddr,
    duty_calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Cloud {
    pub(crate) async fn start() -> Self {
        let duty_calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let shared = Arc::clone(&duty_calls);
        let address = http::serve(move |call| {
            let text = |name: &str| {
                let value = call.headers.get(name).expect("a duty's header");
                value.to_str().expect("text").to_owned()
            };
            let duty_call = DutyCall {
                path: call.path.clone(),
                holder: text("x-almondpath-duty-holder"),
                fence: text("x-almondpath-fence-token").parse().expect("a number"),
                body: serde_json::from_slice(&call.body).expect("JSON"),
            };
            shared.lock().expect("no panic").push(duty_call);
            async { Some((200, Vec::new())) }
        })
        .await;
        Self {
            address,
            duty_calls,
        }
    }

    pub(crate) fn duty_calls(&self) -> Vec<DutyCall> {
        self.duty_calls.lock().expect("no panic").clone()
    }
}
