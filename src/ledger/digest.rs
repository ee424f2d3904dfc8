use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Hash that binds an idempotency key to one client account, route and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(u128);

impl Digest {
    /// Hashes a call: the first 16 bytes of SHA-256 over the three parts, each preceded by its
    /// length.
    #[must_use]
    pub fn of(account: &str, route: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [account.as_bytes(), route.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let bytes: [u8; 32] = hasher.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&bytes[..16]);
        Self(u128::from_be_bytes(half))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        format!("{:032x}", digest.0)
    }
}

impl TryFrom<String> for Digest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
