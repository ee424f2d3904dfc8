use super::{Arm, Stage};

/// Suspicion above which the new version gets less traffic and does not advance to the next stage,
/// on the log scale of [`Detector::suspicion`](super::Detector::suspicion).
pub const SUSPICION_LIMIT: f64 = 0.65;

/// Maximum traffic share of a suspected version. A smaller share exposes fewer requests, and leads
/// to a decision sooner: a failure of the version with less of the traffic is stronger evidence.
const MAX_SUSPECT_SHARE: f64 = 0.2;

/// State of a rollout that limits the traffic that a node sends to the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Current stage; `None` if the new version gets no traffic.
    pub stage: Option<Stage>,
    /// Requests that this node has sent to the new version during the stage.
    pub sent: u32,
    /// Highest suspicion of all tests, from 0 to 1.
    pub suspicion: f64,
    /// Number of nodes that share the stage's request budget.
    pub nodes: u32,
}

/// Chooses the version for a request.
///
/// `draw` is uniform in [0, 1). It is derived, for example, from the hash of the request id, so
/// that all attempts at a request use the same version.
#[must_use]
pub fn choose_version(exposure: &Exposure, draw: f64) -> Arm {
    let Some(stage) = exposure.stage else {
        return Arm::Old;
    };
    let within_budget = stage
        .budget
        .is_none_or(|budget| exposure.sent < budget.div_ceil(exposure.nodes.max(1)));
    let share = if exposure.suspicion > SUSPICION_LIMIT {
        stage.share.min(MAX_SUSPECT_SHARE)
    } else {
        stage.share
    };
    if draw < share && within_budget {
        Arm::New
    } else {
        Arm::Old
    }
}

/// Returns how many endpoints of the new version should get traffic.
///
/// A small share of the traffic on few endpoints loads each of them as much as a full rollout
/// would, so that a fault that occurs only under load is detected while few requests are exposed.
#[must_use]
pub fn endpoints_in_use(share: f64, endpoints: usize) -> usize {
    let wanted = (share * endpoints as f64).ceil();
    (wanted as usize).clamp(endpoints.min(1), endpoints)
}
