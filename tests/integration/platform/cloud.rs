use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::Value;

use super::http;

/// A call of a duty.
#[derive(Clone, Debug)]
pub(crate) struct Duty {
    pub(crate) path: String,
    pub(crate) holder: String,
    pub(crate) fence: u64,
    pub(crate) body: Value,
}

/// The platform's interface for duties.
#[derive(Clone)]
pub(crate) struct Cloud {
    pub(crate) address: SocketAddr,
    duties: Arc<Mutex<Vec<Duty>>>,
}

impl Cloud {
    pub(crate) async fn start() -> Self {
        let duties: Arc<Mutex<Vec<Duty>>> = Arc::default();
        let shared = Arc::clone(&duties);
        let address = http::serve(move |call| {
            let text = |name: &str| {
                let value = call.headers.get(name).expect("a duty's header");
                value.to_str().expect("text").to_owned()
            };
            let duty = Duty {
                path: call.path.clone(),
                holder: text("x-almondpath-duty-holder"),
                fence: text("x-almondpath-fence-token").parse().expect("a number"),
                body: serde_json::from_slice(&call.body).expect("JSON"),
            };
            shared.lock().expect("no panic").push(duty);
            async { Some((200, Vec::new())) }
        })
        .await;
        Self { address, duties }
    }

    pub(crate) fn duties(&self) -> Vec<Duty> {
        self.duties.lock().expect("no panic").clone()
    }
}
