use std::fmt;
use std::path::Path;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::{Document, Problems};

/// The bearer of a valid token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// A client account, by name.
    Account(Arc<str>),
    /// An operator, by name.
    Operator(Arc<str>),
}

/// The valid tokens, stored as SHA-256 digests.
#[derive(Clone, Default)]
pub struct Tokens {
    entries: Vec<([u8; 32], Identity)>,
}

impl Tokens {
    /// Reads a token file: YAML with the maps `client_accounts` and `operators` from name to token.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed; the message never contains a token.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        Ok(Self::from_document(&Document::load(path)?)?)
    }

    /// Validates a parsed token file.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document; the messages never contain a token.
    pub fn from_document(document: &Document) -> Result<Self, Problems> {
        document.bind(|section| {
            let accounts = section.secrets("client_accounts").into_iter();
            let operators = section.secrets("operators").into_iter();
            let accounts =
                accounts.map(|(name, token)| (digest(token.as_bytes()), Identity::Account(name)));
            let operators =
                operators.map(|(name, token)| (digest(token.as_bytes()), Identity::Operator(name)));
            let entries: Vec<_> = accounts.chain(operators).collect();
            for (index, (known, _)) in entries.iter().enumerate() {
                if entries[..index].iter().any(|(other, _)| other == known) {
                    section.report("client_accounts", "two entries have the same token");
                }
            }
            Self { entries }
        })
    }

    /// Returns the bearer of an `authorization` header, `Bearer <token>`.
    ///
    /// Compares every entry, in constant time, so that the time taken reveals nothing about the
    /// tokens.
    #[must_use]
    pub fn identify(&self, header: Option<&str>) -> Option<Identity> {
        let token = header?.strip_prefix("Bearer ")?;
        let presented = digest(token.as_bytes());
        let mut found = None;
        for (known, identity) in &self.entries {
            if bool::from(known.ct_eq(&presented)) {
                found = Some(identity.clone());
            }
        }
        found
    }
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tokens")
            .field("entries", &self.entries.len())
            .finish()
    }
}

/// Returns the SHA-256 digest of a token.
pub(crate) fn digest(token: &[u8]) -> [u8; 32] {
    Sha256::digest(token).into()
}
