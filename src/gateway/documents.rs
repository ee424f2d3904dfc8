use crate::error::Error;

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
}
