use crate::admission;
use crate::clock::Millis;
use crate::routing::Policy;

use super::EngineModel;

/// How a trace is replayed.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How endpoints are chosen.
    pub policy: Policy,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Nodes that decide independently; requests are spread over them.
    pub nodes: usize,
    /// Endpoints; none takes those of the trace.
    pub engines: Option<usize>,
    /// Factor on the rate of arrivals.
    pub speed: f64,
    /// Time between two load reports of an engine.
    pub report_interval: Millis,
    /// Time from a load report to its arrival at the nodes.
    pub report_lag: Millis,
    /// Time from a change of a prefix cache to its arrival at the nodes.
    pub event_lag: Millis,
    /// Share of the cache events that is lost, from 0 to 1.
    pub event_loss: f64,
    /// The modelled engine.
    pub engine: EngineModel,
    /// Constants of admission.
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
