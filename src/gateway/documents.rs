use std::sync::Arc;

use crate::error::Error;

use super::rollout::{Order, Progress};
use super::{Config, Registration};

/// Parses the documents of the platform's store.
pub trait Documents: Send + Sync + 'static {
    /// Returns the key of the configuration in the operator's topic.
    fn config_key(&self) -> &'static str;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// `Malformed` if the document is not a valid configuration.
    fn config(&self, document: &[u8]) -> Result<Config, Error>;

    /// Parses the registration of the endpoint with this id.
    ///
    /// # Errors
    ///
    /// `Malformed` if the document does not describe a usable endpoint.
    fn registration(&self, id: &str, document: &[u8]) -> Result<Registration, Error>;

    /// Returns the failure domain whose evacuation a record of the operator's topic orders; none if
    /// the key is not that of such an order.
    fn evacuated_domain(&self, key: &str) -> Option<Arc<str>>;

    /// Parses a rollout order of the operator's topic; none if the key is not that of an order.
    ///
    /// # Errors
    ///
    /// `Malformed` if the document is not a valid order.
    fn rollout_order(&self, key: &str, document: &[u8]) -> Option<Result<Order, Error>>;

    /// Returns the key of a service's rollout in the topic of status.
    fn rollout_status_key(&self, service: &str) -> String;

    /// Returns the document that records the status of a rollout.
    fn rollout_status(&self, progress: &Progress) -> Vec<u8>;

    /// Parses the recorded status of a rollout; none if the key is not that of a rollout.
    ///
    /// # Errors
    ///
    /// `Malformed` if the document is not a valid status.
    fn parse_rollout_status(&self, key: &str, document: &[u8]) -> Option<Result<Progress, Error>>;
}
