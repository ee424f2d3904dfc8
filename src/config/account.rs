use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name, as in the token file.
    pub name: Arc<str>,
    /// Share of the capacity relative to the other accounts, above 0.
    pub weight: f64,
    /// Highest rate over all nodes in cost units (tokens for models, milliseconds of service time
    /// for services) a second; none means no limit beyond the share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_cost_per_s: Option<f64>,
}
