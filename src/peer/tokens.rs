use std::fmt;
use std::path::Path;
use std::sync::Arc;

use subtle::ConstantTimeEq;

use crate::access::digest;
use crate::document::{Document, Problems};

/// SHA-256 digest of a token.
pub(super) type Digest = [u8; 32];

/// Shared tokens by which nodes authenticate each other.
///
/// All of them are accepted and the first one is sent, so that a token can be replaced without
/// downtime: the new token is appended on every node, then moved to the first position, then the
/// old one is removed. The default has no tokens and accepts every node.
///
/// # Examples
///
/// ```
/// use almondpath::document::Document;
/// use almondpath::peer::Tokens;
///
/// let text = "peer_tokens: { december: a-long-random-token }";
/// let document = Document::parse("peer_tokens.yaml", text).expect("valid YAML");
/// let tokens = Tokens::from_document(&document).expect("a valid file");
/// assert!(!format!("{tokens:?}").contains("a-long-random-token"));
/// ```
#[derive(Clone, Default)]
pub struct Tokens {
    digests: Vec<Digest>,
    outgoing: Option<Arc<str>>,
    required: bool,
}

/// Parsing.
impl Tokens {
    /// Reads a token file: YAML with the map `peer_tokens` from name to token, and the flag
    /// `required`; `false` admits nodes without a token while the file is rolled out.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or parsed; the message never contains a token.
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
            let tokens = section.secrets("peer_tokens");
            if tokens.is_empty() {
                section.report("peer_tokens", "at least one token is needed");
            }
            let digests: Vec<_> = tokens.iter().map(|(_, t)| digest(t.as_bytes())).collect();
            for (index, known) in digests.iter().enumerate() {
                if digests[..index].contains(known) {
                    section.report("peer_tokens", "two entries have the same token");
                }
            }
            Self {
                digests,
                outgoing: tokens.into_iter().next().map(|(_, token)| token),
                required: section.flag_or("required", true),
            }
        })
    }
}

/// Checks.
impl Tokens {
    /// Returns whether nodes without a token are refused.
    #[must_use]
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Returns the token that is sent to other nodes; empty if there is none.
    pub(super) fn outgoing(&self) -> &[u8] {
        self.outgoing.as_deref().unwrap_or_default().as_bytes()
    }

    /// Checks a presented token, where an empty one means none; returns its digest, if it has one,
    /// or `None` when the node is not admitted.
    pub(super) fn check(&self, token: &[u8]) -> Option<Option<Digest>> {
        let presented = (!token.is_empty()).then(|| digest(token));
        self.admits(presented.as_ref()).then_some(presented)
    }

    /// Returns whether a node that presented this token is admitted.
    ///
    /// Every entry is compared in constant time, so that the duration reveals nothing about the
    /// tokens. Without tokens every node is admitted.
    pub(super) fn admits(&self, presented: Option<&Digest>) -> bool {
        let Some(presented) = presented else {
            return !self.required;
        };
        let mut known = self.digests.is_empty();
        for digest in &self.digests {
            known |= bool::from(digest.ct_eq(presented));
        }
        known
    }
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tokens")
            .field("count", &self.digests.len())
            .field("required", &self.required)
            .finish()
    }
}
