use std::future::Future;

use slog::{Logger, error, o, warn};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Millis};

/// Maximum number of restarts of one child within [`RESTART_WINDOW`]; at the next failure the
/// process ends.
const MAX_RESTARTS: usize = 8;

const RESTART_WINDOW: Millis = Millis::from_secs(60);
const FIRST_BACKOFF: Millis = Millis(100);
const MAX_BACKOFF: Millis = Millis(5_000);

/// Runs named child tasks and restarts those that fail or panic.
#[derive(Debug)]
pub struct Supervisor {
    children: JoinSet<()>,
    token: CancellationToken,
    clock: Clock,
    log: Logger,
}

impl Supervisor {
    /// Creates a supervisor whose children end when `token` is cancelled.
    #[must_use]
    pub fn new(token: CancellationToken, clock: Clock, log: Logger) -> Self {
        Self {
            children: JoinSet::new(),
            token,
            clock,
            log,
        }
    }

    /// Starts a child task; `factory` creates its future, again for each restart.
    ///
    /// A child that returns `Ok` has finished and is not restarted. A child that fails too often
    /// causes the supervisor's token to be cancelled, which ends the process.
    pub fn spawn<F, T>(&mut self, name: &'static str, mut factory: F)
    where
        F: FnMut(CancellationToken) -> T + Send + 'static,
        T: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        let token = self.token.clone();
        let clock = self.clock.clone();
        let log = self.log.new(o!("child" => name));
        self.children.spawn(async move {
            let mut restarts: Vec<Millis> = Vec::new();
            let mut backoff = FIRST_BACKOFF;
            loop {
                let reason = match tokio::spawn(factory(token.child_token())).await {
                    Ok(Ok(())) => return,
                    Ok(Err(error)) => format!("{error:#}"),
                    Err(error) => error.to_string(),
                };
                if token.is_cancelled() {
                    return;
                }
                let now = clock.now();
                restarts.retain(|at| now - *at < RESTART_WINDOW);
                restarts.push(now);
                if restarts.len() > MAX_RESTARTS {
                    error!(log, "child failed too often, ending the process"; "reason" => reason);
                    token.cancel();
                    return;
                }
                warn!(log, "child failed, restarting"; "reason" => reason);
                metrics::counter!("almondpath_child_restarts_total", "child" => name).increment(1);
                tokio::select! {
                    () = token.cancelled() => return,
                    () = tokio::time::sleep(backoff.into()) => {}
                }
                backoff = Millis((backoff.0 * 2).min(MAX_BACKOFF.0));
            }
        });
    }

    /// Waits until all children have ended.
    pub async fn join(mut self) {
        while self.children.join_next().await.is_some() {}
    }
}
