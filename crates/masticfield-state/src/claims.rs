//! The claims of idempotency keys.

use std::collections::BTreeMap;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::RequestId;
use serde::{Deserialize, Serialize};

/// The claims that are kept, oldest key first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Held>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    by: RequestId,
    fingerprint: [u8; 16],
    end: Option<ClaimEnd>,
}

impl ClaimTable {
    /// Claims that are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Grants a key to the first claimant.
    pub(crate) fn claim(&mut self, _now_s: u64, claim: &Claim) -> ClaimVerdict {
        let by = claim.request;
        let Some(held) = self.claims.get(&claim.key) else {
            let held = Held {
                by,
                fingerprint: claim.fingerprint,
                end: None,
            };
            self.claims.insert(claim.key, held);
            return ClaimVerdict::Granted;
        };
        held.verdict(claim)
    }

    /// Records how a claimed request ended; a key that did not run is free again.
    pub(crate) fn end(&mut self, key: ClaimKey, request: RequestId, end: ClaimEnd) {
        let Some(held) = self.claims.get_mut(&key).filter(|held| held.by == request) else {
            return;
        };
        match end {
            ClaimEnd::NotRun => drop(self.claims.remove(&key)),
            ClaimEnd::Ran | ClaimEnd::Unknown => held.end = Some(end),
        }
    }
}

impl Held {
    fn verdict(&self, claim: &Claim) -> ClaimVerdict {
        let by = self.by;
        if self.fingerprint != claim.fingerprint {
            return ClaimVerdict::OtherRequest;
        }
        match self.end {
            None if by == claim.request => ClaimVerdict::AlreadyYours,
            None => ClaimVerdict::Held { by },
            Some(ClaimEnd::Ran) => ClaimVerdict::Ran { by },
            Some(_) => ClaimVerdict::Unknown { by },
        }
    }
}
