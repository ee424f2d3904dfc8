use crate::error::Error;

use super::{Config, Registration};

/// Reads the documents of the platform's store.
pub trait Documents: Send + Sync + 'static {
    /// Returns the key of the configuration among the operator's records.
    fn config_key(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// `Malformed` when the document is not a configuration.
    fn config(&self, document: &[u8]) -> Result<Config, Error>;

    /// Reads what the endpoint with this id states about itself.
    ///
    /// # Errors
    ///
    /// `Malformed` when the document names no endpoint that could be used.
    fn registration(&self, id: &str, document: &[u8]) -> Result<Registration, Error>;
}
