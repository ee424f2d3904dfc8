use super::{Arm, Stage};

/// Suspicion from which on the new version gets less traffic and no further stage, on the log scale
/// of [`Detector::suspicion`](super::Detector::suspicion).
pub const CAUTION: f64 = 0.65;

/// Highest share of a suspected version. A smaller share exposes fewer requests and decides
/// sooner: a failure of the version with the smaller part of the traffic says more.
const SUSPECT_SHARE: f64 = 0.2;

/// What a node knows when it picks the version for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The stage in force; none when the new version gets no traffic.
    pub stage: Option<Stage>,
    /// Requests that this node has sent to the new version during the stage.
    pub sent: u32,
    /// How near the nearest test is to a trip, from 0 to 1.
    pub suspicion: f64,
    /// Number of nodes that share the stage's budget.
    pub nodes: u32,
}

/// Chooses the version for a request.
///
/// `draw` is uniform in [0, 1), for example from the hash of the request id, so that a retry of
/// the same request meets the same version.
#[must_use]
pub fn choose_version(exposure: &Exposure, draw: f64) -> Arm {
    let Some(stage) = exposure.stage else {
        return Arm::Old;
    };
    let within_budget = stage
        .budget
        .is_none_or(|budget| exposure.sent < budget.div_ceil(exposure.nodes.max(1)));
    let share = if exposure.suspicion > CAUTION {
        stage.share.min(SUSPECT_SHARE)
    } else {
        stage.share
    };
    if draw < share && within_budget {
        Arm::New
    } else {
        Arm::Old
    }
}

/// Returns how many endpoints of the new version should share its traffic.
///
/// A small share on few endpoints loads each as much as a full rollout would, so that a fault that
/// shows only under load is found while few requests are exposed.
#[must_use]
pub fn endpoints_in_use(share: f64, endpoints: usize) -> usize {
    let wanted = (share * endpoints as f64).ceil();
    (wanted as usize).clamp(endpoints.min(1), endpoints)
}
