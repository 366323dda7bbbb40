//! Claims of idempotency keys.
//!
//! Before the first byte of a request that is not idempotent goes to an upstream, its key is
//! claimed durably on a quorum of control replicas. The first claim of a key is granted; every
//! later one learns what became of the first.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::claim::ClaimKey;
//!
//! let key = ClaimKey::from_digest([7; 16], 1_700_000_000);
//! assert_eq!(key.issued_s(), 1_700_000_000);
//! ```

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, RequestId};

/// Digest of a service, a caller's idempotency key, and the time that the key was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    issued_s: u64,
    digest: [u8; 16],
}

impl ClaimKey {
    /// Creates a key from the digest of its text and its time of issue in Unix seconds.
    pub const fn from_digest(digest: [u8; 16], issued_s: u64) -> Self {
        Self { issued_s, digest }
    }

    /// Time of issue in seconds since the Unix epoch, as the caller wrote it into the key.
    pub const fn issued_s(self) -> u64 {
        self.issued_s
    }

    /// The first 128 bits of the SHA-256 digest of service and key text.
    pub const fn digest(self) -> [u8; 16] {
        self.digest
    }
}

/// A wish to be the one who runs the request with this key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// Digest of method, path and body, so that a key used for another request is refused.
    pub fingerprint: [u8; 16],
    /// The dispatch that will run if the claim is granted.
    pub request: RequestId,
}

impl Claim {
    /// The entry that claims.
    pub const fn entry(&self) -> EntryId {
        self.request.entry()
    }
}

/// The answer to a [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claimant runs the request; nobody else ever will under this key.
    Granted,
    /// The same dispatch claimed the key before: a resent claim.
    AlreadyYours,
    /// Another dispatch holds the key and has not reported its end.
    Held {
        /// The dispatch that holds the key.
        by: RequestId,
    },
    /// The request ran to its end; the entry named may still hold the answer.
    Ran {
        /// The dispatch that ran.
        by: RequestId,
    },
    /// The request was dispatched and its end is unknown.
    Unknown {
        /// The dispatch that was made.
        by: RequestId,
    },
    /// The key was claimed for a request with another fingerprint.
    OtherRequest,
    /// The key is older than the claims that are kept.
    Expired,
}

/// How a claimed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// It ran and the whole answer arrived.
    Ran,
    /// It provably did not run; the key is free again.
    NotRun,
    /// There is no proof either way.
    Unknown,
}
