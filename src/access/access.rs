use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::sync::Arc;

use eyre::WrapErr;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The bearer of a valid token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// A caller on behalf of a client account.
    Account(Arc<str>),
    /// An operator, by name.
    Operator(Arc<str>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    client_accounts: BTreeMap<Arc<str>, String>,
    #[serde(default)]
    operators: BTreeMap<Arc<str>, String>,
}

/// The known tokens, kept as SHA-256 digests.
#[derive(Clone, Default)]
pub struct Access {
    entries: Vec<([u8; 32], Identity)>,
}

impl Access {
    /// Reads a token file: YAML with the maps `client_accounts` and `operators` of name to token.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or parsed; the message never contains a token.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading the token file {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("in the token file {}", path.display()))
    }

    /// Parses the text of a token file.
    ///
    /// # Errors
    ///
    /// Fails when the text isn't a token file; the message never contains a token.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let document: Document = serde_saphyr::from_str(text)
            .map_err(|_| eyre::eyre!("expected the maps `client_accounts` and `operators`"))?;
        let accounts = document
            .client_accounts
            .into_iter()
            .map(|(name, token)| (digest(&token), Identity::Account(name)));
        let operators = document
            .operators
            .into_iter()
            .map(|(name, token)| (digest(&token), Identity::Operator(name)));
        Ok(Self {
            entries: accounts.chain(operators).collect(),
        })
    }

    /// Returns the bearer of an `authorization` header, `Bearer <token>`.
    ///
    /// Every entry is compared, in constant time, so that the time taken tells nothing.
    #[must_use]
    pub fn identify(&self, header: Option<&str>) -> Option<Identity> {
        let token = header?.strip_prefix("Bearer ")?;
        let wanted = digest(token);
        let mut found = None;
        for (known, identity) in &self.entries {
            if bool::from(known.ct_eq(&wanted)) {
                found = Some(identity.clone());
            }
        }
        found
    }
}

impl fmt::Debug for Access {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Access")
            .field("entries", &self.entries.len())
            .finish()
    }
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}
