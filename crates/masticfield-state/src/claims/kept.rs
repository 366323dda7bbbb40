//! A claim as it is stored: 39 bytes with its key, without padding.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey};
use masticfield_core::ids::{EntryId, RequestId};
use serde::{Deserialize, Serialize};

/// Seconds of issue in big-endian order and the digest, so that keys sort by issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct KeptKey {
    issued_s: [u8; 4],
    digest: [u8; 16],
}

/// The dispatch that holds a key and how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Kept {
    fingerprint: [u8; 8],
    sequence: [u8; 8],
    entry: [u8; 2],
    pub(super) end: Option<ClaimEnd>,
}

impl KeptKey {
    /// The key, or nothing if its time of issue does not fit into 32 bits.
    pub(super) fn new(key: ClaimKey) -> Option<Self> {
        let issued_s = u32::try_from(key.issued_s()).ok()?.to_be_bytes();
        let digest = key.digest();
        Some(Self { issued_s, digest })
    }

    pub(super) const fn issued_s(self) -> u64 {
        u32::from_be_bytes(self.issued_s) as u64
    }
}

impl Kept {
    pub(super) fn new(claim: &Claim) -> Self {
        Self {
            fingerprint: fold(claim.fingerprint),
            sequence: claim.request.sequence().to_le_bytes(),
            entry: claim.request.entry().number().to_le_bytes(),
            end: None,
        }
    }

    pub(super) const fn by(self) -> RequestId {
        let entry = EntryId::new(u16::from_le_bytes(self.entry));
        RequestId::new(entry, u64::from_le_bytes(self.sequence))
    }

    pub(super) fn is_for(self, fingerprint: [u8; 16]) -> bool {
        self.fingerprint == fold(fingerprint)
    }
}

/// The first half of a fingerprint.
fn fold(fingerprint: [u8; 16]) -> [u8; 8] {
    std::array::from_fn(|i| fingerprint[i])
}
