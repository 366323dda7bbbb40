//! Claims of idempotency keys.
//!
//! Before the first byte of a request that is not idempotent goes to an upstream, its key is
//! claimed durably on a quorum of control replicas. The first claim of a key is granted; every
//! later claim is answered with the state of the first.
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

/// Identifies an idempotency key: a digest of service and key text, and the time of issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    issued_s: u64,
    digest: [u8; 16],
}

impl ClaimKey {
    /// Creates a key from its digest and its time of issue in seconds since the Unix epoch.
    pub const fn from_digest(digest: [u8; 16], issued_s: u64) -> Self {
        Self { issued_s, digest }
    }

    /// Returns the time of issue in seconds since the Unix epoch, as the caller wrote it.
    pub const fn issued_s(self) -> u64 {
        self.issued_s
    }

    /// Returns the first 128 bits of the SHA-256 digest of service and key text.
    pub const fn digest(self) -> [u8; 16] {
        self.digest
    }
}

/// A request for the exclusive right to run the request with a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Digest of method, path and body; reuse of the key for another request is refused by it.
    pub fingerprint: [u8; 16],
    /// Dispatch that runs if the claim is granted.
    pub request: RequestId,
}

impl Claim {
    /// Returns the entry that made the claim.
    pub const fn entry(&self) -> EntryId {
        self.request.entry()
    }
}

/// Decision on a [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claimant may run the request; no other dispatch ever may under this key.
    Granted,
    /// The same dispatch holds the key already: the claim was resent.
    AlreadyYours,
    /// Another dispatch holds the key and has not reported its end.
    Held {
        /// The dispatch that holds the key.
        by: RequestId,
    },
    /// The request ran to its end; the entry of `by` may still hold the response.
    Ran {
        /// The dispatch that ran.
        by: RequestId,
    },
    /// The request was dispatched and how it ended is unknown.
    Unknown {
        /// The dispatch whose end is unknown.
        by: RequestId,
    },
    /// The key was claimed for a request with another fingerprint.
    OtherRequest,
    /// The key was issued before the oldest claims that are kept.
    Expired,
}

/// How a claimed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The request ran and its whole response arrived.
    Ran,
    /// The request provably did not run; the key is free again.
    NotRun,
    /// The request was sent, and there is no proof whether it ran.
    Unknown,
}
