//! The table of claims.

use std::collections::BTreeMap;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use serde::{Deserialize, Serialize};

use super::kept::{Kept, KeptKey};
use crate::{Guard, Guards};

/// The claims that are kept, oldest key first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<KeptKey, Kept>,
    now_s: u64,
    floor_s: u64,
    /// The sequence after the highest that each entry claimed with.
    next_sequence: BTreeMap<EntryId, u64>,
    /// Dispatches of an entry below this sequence will report no end any more.
    fences: BTreeMap<EntryId, u64>,
    #[serde(skip)]
    guards: Guards,
}

impl ClaimTable {
    /// Seconds after its issue for which a key is kept.
    pub const RETENTION_S: u64 = 3_600;
    /// Claims that are kept, at most.
    pub const MAX_CLAIMS: usize = 400_000;
    /// Seconds for which a key is kept even if the table is full.
    pub const MIN_RETENTION_S: u64 = 60;
    /// Seconds by which the clock of a caller may be ahead.
    pub const MAX_AHEAD_S: u64 = 60;

    /// Creates an empty table.
    pub const fn new() -> Self {
        Self::with_guards(Guards::all())
    }

    /// Creates an empty table in which only `guards` hold. For checks.
    pub const fn with_guards(guards: Guards) -> Self {
        Self {
            claims: BTreeMap::new(),
            now_s: 0,
            floor_s: 0,
            next_sequence: BTreeMap::new(),
            fences: BTreeMap::new(),
            guards,
        }
    }

    /// Claims that are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Keys issued before this second, since the Unix epoch, are expired.
    pub const fn expired_before_s(&self) -> u64 {
        self.floor_s
    }

    /// Grants a key to the first claimant at `now_s` seconds since the Unix epoch.
    ///
    /// Time never runs backwards here: an earlier `now_s` than before counts as the latest.
    pub fn claim(&mut self, now_s: u64, claim: &Claim) -> ClaimVerdict {
        self.expire(now_s);
        let Some(key) = self.usable(claim.key) else {
            return ClaimVerdict::Expired;
        };
        if let Some(kept) = self.claims.get(&key)
            && self.guards.holds(Guard::ClaimOnce)
        {
            return self.verdict(*kept, claim);
        }
        if !self.make_room() {
            return ClaimVerdict::Expired;
        }
        if key.issued_s() < self.floor_s && self.guards.holds(Guard::ClaimAge) {
            return ClaimVerdict::Expired;
        }
        self.claims.insert(key, Kept::new(claim));
        let next = self.next_sequence.entry(claim.entry()).or_default();
        *next = (*next).max(claim.request.sequence().saturating_add(1));
        ClaimVerdict::Granted
    }

    /// Records how a claimed request ended; a key that did not run is free again.
    ///
    /// The first end stands, except that a request of unknown end may turn out to have run. A
    /// fenced dispatch cannot free its key.
    pub fn end(&mut self, key: ClaimKey, request: RequestId, end: ClaimEnd) {
        let Some(key) = KeptKey::new(key) else {
            return;
        };
        let Some(kept) = self
            .claims
            .get_mut(&key)
            .filter(|kept| kept.by() == request)
        else {
            return;
        };
        let first = kept.end.is_none() || !self.guards.holds(Guard::FirstEnd);
        let fenced = is_fenced(&self.fences, request) && self.guards.holds(Guard::Fence);
        match (end, kept.end) {
            (ClaimEnd::NotRun, _) if fenced => {}
            (ClaimEnd::NotRun, _) if first => drop(self.claims.remove(&key)),
            (ClaimEnd::Ran, Some(ClaimEnd::Unknown)) => kept.end = Some(end),
            (ClaimEnd::Ran | ClaimEnd::Unknown, _) if first => kept.end = Some(end),
            _ => {}
        }
    }

    /// Fences every dispatch that an entry claimed so far, because the entry restarted or lost
    /// its lease: those without an end count as of unknown end.
    pub fn fence(&mut self, entry: EntryId) {
        if let Some(next) = self.next_sequence.get(&entry) {
            self.fences.insert(entry, *next);
        }
    }

    fn verdict(&self, kept: Kept, claim: &Claim) -> ClaimVerdict {
        let by = kept.by();
        if !kept.is_for(claim.fingerprint) {
            return ClaimVerdict::OtherRequest;
        }
        let fenced = is_fenced(&self.fences, by) && self.guards.holds(Guard::Fence);
        match kept.end {
            Some(ClaimEnd::Ran) => ClaimVerdict::Ran { by },
            Some(_) => ClaimVerdict::Unknown { by },
            None if fenced => ClaimVerdict::Unknown { by },
            None if by == claim.request => ClaimVerdict::AlreadyYours,
            None => ClaimVerdict::Held { by },
        }
    }

    /// The stored form of a key that is neither too old nor too far ahead.
    fn usable(&self, key: ClaimKey) -> Option<KeptKey> {
        let issued_s = key.issued_s();
        let too_old = issued_s < self.floor_s && self.guards.holds(Guard::ClaimAge);
        let ahead = issued_s > self.now_s + Self::MAX_AHEAD_S;
        if too_old || ahead {
            None
        } else {
            KeptKey::new(key)
        }
    }

    fn expire(&mut self, now_s: u64) {
        self.now_s = self.now_s.max(now_s);
        self.forget_before(self.now_s.saturating_sub(Self::RETENTION_S));
    }

    /// Frees a place, and says whether there is one.
    fn make_room(&mut self) -> bool {
        if self.claims.len() < Self::MAX_CLAIMS {
            return true;
        }
        let oldest_s = self
            .claims
            .first_key_value()
            .map_or(0, |(key, _)| key.issued_s());
        if oldest_s + Self::MIN_RETENTION_S > self.now_s {
            return false;
        }
        self.forget_before(oldest_s + 1);
        true
    }

    fn forget_before(&mut self, floor_s: u64) {
        self.floor_s = self.floor_s.max(floor_s);
        while let Some(first) = self.claims.first_entry()
            && first.key().issued_s() < self.floor_s
        {
            first.remove();
        }
    }
}

/// Whether a dispatch is of an incarnation that ended.
fn is_fenced(fences: &BTreeMap<EntryId, u64>, request: RequestId) -> bool {
    let fence = fences.get(&request.entry());
    fence.is_some_and(|fence| request.sequence() < *fence)
}
