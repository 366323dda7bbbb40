//! Compact storage of claims: 39 bytes for a claim and its key, without padding.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey};
use masticfield_core::ids::{EntryId, RequestId};
use serde::{Deserialize, Serialize};

/// Time of issue, in big-endian seconds so that keys sort by it, and digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct StoredKey {
    issued_s: [u8; 4],
    digest: [u8; 16],
}

/// The dispatch that holds a key, and how the request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct StoredClaim {
    fingerprint: [u8; 8],
    sequence: [u8; 8],
    entry: [u8; 2],
    pub(super) end: Option<ClaimEnd>,
}

impl StoredKey {
    /// Creates the stored form; `None` if the time of issue does not fit into 32 bits.
    pub(super) fn new(key: ClaimKey) -> Option<Self> {
        let issued_s = u32::try_from(key.issued_s()).ok()?.to_be_bytes();
        let digest = key.digest();
        Some(Self { issued_s, digest })
    }

    /// Time of issue in seconds since the Unix epoch.
    pub(super) const fn issued_s(self) -> u64 {
        u32::from_be_bytes(self.issued_s) as u64
    }
}

impl StoredClaim {
    /// Creates the stored form of a granted claim, whose request has not ended.
    pub(super) fn new(claim: &Claim) -> Self {
        Self {
            fingerprint: truncate(claim.fingerprint),
            sequence: claim.request.sequence().to_le_bytes(),
            entry: claim.request.entry().number().to_le_bytes(),
            end: None,
        }
    }

    /// The dispatch that holds the key.
    pub(super) const fn by(self) -> RequestId {
        let entry = EntryId::new(u16::from_le_bytes(self.entry));
        RequestId::new(entry, u64::from_le_bytes(self.sequence))
    }

    /// Whether the claim was made for a request with this fingerprint.
    pub(super) fn is_for(self, fingerprint: [u8; 16]) -> bool {
        self.fingerprint == truncate(fingerprint)
    }
}

/// The first half of a fingerprint, which is the part that is stored.
fn truncate(fingerprint: [u8; 16]) -> [u8; 8] {
    std::array::from_fn(|i| fingerprint[i])
}
