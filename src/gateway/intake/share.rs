use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;

use super::{Budget, Kind};

/// What one holder takes of a [`Budget`], until it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    kind: Kind,
    address: Option<IpAddr>,
    bytes: usize,
}

impl Share {
    /// Creates a share that holds nothing yet.
    #[must_use]
    pub fn new(budget: &Arc<Budget>, kind: Kind) -> Self {
        Self {
            budget: Arc::clone(budget),
            kind,
            address: None,
            bytes: 0,
        }
    }

    /// Sets the address of the caller for whom it is held.
    #[must_use]
    pub fn with_address(mut self, address: IpAddr) -> Self {
        self.address = Some(address);
        self
    }

    /// Holds this many bytes from now on; returns whether there was enough memory. If there was not,
    /// the share stays as it was.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            if !self.budget.take(self.kind, self.address, self.bytes, more) {
                return false;
            }
        } else if bytes < self.bytes {
            let less = self.bytes - bytes;
            self.budget.give_back(self.kind, self.address, less);
        }
        self.bytes = bytes;
        true
    }

    /// Returns the address of the caller for whom it is held, if it is known.
    #[must_use]
    pub fn address(&self) -> Option<IpAddr> {
        self.address
    }

    /// Returns the number of bytes that it holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes that it stands for, with which it is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

/// Bytes together with their share.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.give_back(self.kind, self.address, self.bytes);
        }
    }
}
