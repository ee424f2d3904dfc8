use crate::admission;
use crate::clock::Millis;
use crate::routing::Policy;

use super::EngineModel;

/// Settings of a replay.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Routing policy.
    pub policy: Policy,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Number of nodes; each decides independently, and requests are spread over them at random.
    pub nodes: usize,
    /// Number of endpoints; `None` uses the endpoints of the trace.
    pub engines: Option<usize>,
    /// Factor by which the arrival rate of the trace is multiplied.
    pub speed: f64,
    /// Interval between the load reports of an engine.
    pub report_interval: Millis,
    /// Delay until a load report reaches the nodes.
    pub report_lag: Millis,
    /// Delay until a change of a prefix cache reaches the nodes.
    pub event_lag: Millis,
    /// Fraction of the cache events that is lost, from 0 to 1.
    pub event_loss: f64,
    /// Speed and capacity of the simulated engines.
    pub engine: EngineModel,
    /// Admission settings.
    pub admission: admission::Settings,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::Expected,
            seed: 1,
            nodes: 3,
            engines: None,
            speed: 1.0,
            report_interval: Millis(500),
            report_lag: Millis::ZERO,
            event_lag: Millis(200),
            event_loss: 0.0,
            engine: EngineModel::default(),
            admission: admission::Settings::default(),
        }
    }
}
