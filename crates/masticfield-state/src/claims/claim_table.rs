//! The table of claims and fences.

use std::collections::BTreeMap;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use serde::{Deserialize, Serialize};

use super::stored_claim::{StoredClaim, StoredKey};
use crate::{Guard, Guards};

/// The claims within their retention, oldest key first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<StoredKey, StoredClaim>,
    /// Latest time of a claim, in seconds since the Unix epoch.
    now_s: u64,
    /// Time of issue before which keys are expired, in seconds since the Unix epoch.
    expired_before_s: u64,
    /// Lowest sequence number that each entry has not claimed with yet.
    next_sequence: BTreeMap<EntryId, u64>,
    /// Dispatches of an entry with a lower sequence number will not report their end.
    fences: BTreeMap<EntryId, u64>,
    #[serde(skip)]
    guards: Guards,
}

impl ClaimTable {
    /// Time for which a claim is kept after the key was issued, in seconds.
    pub const RETENTION_S: u64 = 3_600;
    /// Maximum number of claims kept.
    pub const MAX_CLAIMS: usize = 400_000;
    /// Time for which a claim is kept even if the table is full, in seconds.
    pub const MIN_RETENTION_S: u64 = 60;
    /// Maximum time by which the clock of a caller may be ahead, in seconds.
    pub const MAX_AHEAD_S: u64 = 60;

    /// Creates an empty table.
    pub const fn new() -> Self {
        Self::with_guards(Guards::all())
    }

    /// Creates an empty table with a subset of the safety rules; for tests only.
    pub const fn with_guards(guards: Guards) -> Self {
        Self {
            claims: BTreeMap::new(),
            now_s: 0,
            expired_before_s: 0,
            next_sequence: BTreeMap::new(),
            fences: BTreeMap::new(),
            guards,
        }
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Time of issue before which keys are expired, in seconds since the Unix epoch.
    pub const fn expired_before_s(&self) -> u64 {
        self.expired_before_s
    }

    /// Claims a key at `now_s`, in seconds since the Unix epoch.
    ///
    /// The key is granted to its first claimant. Time never runs backwards: if `now_s` is earlier
    /// than that of a previous claim, the latest time counts.
    pub fn claim(&mut self, now_s: u64, claim: &Claim) -> ClaimVerdict {
        self.advance_time(now_s);
        let Some(key) = self.storable(claim.key) else {
            return ClaimVerdict::Expired;
        };
        if let Some(stored) = self.claims.get(&key)
            && self.guards.holds(Guard::ClaimOnce)
        {
            return self.verdict(*stored, claim);
        }
        if !self.ensure_capacity() {
            return ClaimVerdict::Expired;
        }
        if key.issued_s() < self.expired_before_s && self.guards.holds(Guard::ClaimAge) {
            return ClaimVerdict::Expired;
        }
        self.claims.insert(key, StoredClaim::new(claim));
        let next = self.next_sequence.entry(claim.entry()).or_default();
        *next = (*next).max(claim.request.sequence().saturating_add(1));
        ClaimVerdict::Granted
    }

    /// Records how a claimed request ended; the key of a request that did not run is free again.
    ///
    /// The first end is final, except that an unknown end may later be reported as run. A fenced
    /// dispatch cannot free its key.
    pub fn end(&mut self, key: ClaimKey, request: RequestId, end: ClaimEnd) {
        let Some(key) = StoredKey::new(key) else {
            return;
        };
        let Some(stored) = self
            .claims
            .get_mut(&key)
            .filter(|stored| stored.by() == request)
        else {
            return;
        };
        let is_first = stored.end.is_none() || !self.guards.holds(Guard::FirstEnd);
        let fenced = is_fenced(&self.fences, request) && self.guards.holds(Guard::Fence);
        match (end, stored.end) {
            (ClaimEnd::NotRun, _) if fenced => {}
            (ClaimEnd::NotRun, _) if is_first => drop(self.claims.remove(&key)),
            (ClaimEnd::Ran, Some(ClaimEnd::Unknown)) => stored.end = Some(end),
            (ClaimEnd::Ran | ClaimEnd::Unknown, _) if is_first => stored.end = Some(end),
            _ => {}
        }
    }

    /// Fences every dispatch that an entry has claimed so far.
    ///
    /// Called when the entry restarts or loses its lease. The end of a fenced dispatch that has
    /// not been reported counts as unknown.
    pub fn fence(&mut self, entry: EntryId) {
        if let Some(next) = self.next_sequence.get(&entry) {
            self.fences.insert(entry, *next);
        }
    }

    /// The verdict on a claim of a key that is already stored.
    fn verdict(&self, stored: StoredClaim, claim: &Claim) -> ClaimVerdict {
        let by = stored.by();
        if !stored.is_for(claim.fingerprint) {
            return ClaimVerdict::OtherRequest;
        }
        let fenced = is_fenced(&self.fences, by) && self.guards.holds(Guard::Fence);
        match stored.end {
            Some(ClaimEnd::Ran) => ClaimVerdict::Ran { by },
            Some(_) => ClaimVerdict::Unknown { by },
            None if fenced => ClaimVerdict::Unknown { by },
            None if by == claim.request => ClaimVerdict::AlreadyYours,
            None => ClaimVerdict::Held { by },
        }
    }

    /// The stored form of a key; `None` if it was issued too long ago or too far in the future.
    fn storable(&self, key: ClaimKey) -> Option<StoredKey> {
        let issued_s = key.issued_s();
        let is_too_old = issued_s < self.expired_before_s && self.guards.holds(Guard::ClaimAge);
        let is_ahead = issued_s > self.now_s + Self::MAX_AHEAD_S;
        if is_too_old || is_ahead {
            None
        } else {
            StoredKey::new(key)
        }
    }

    /// Advances the time, and removes expired claims.
    fn advance_time(&mut self, now_s: u64) {
        self.now_s = self.now_s.max(now_s);
        self.remove_before(self.now_s.saturating_sub(Self::RETENTION_S));
    }

    /// Ensures that the table can hold another claim.
    ///
    /// If the table is full, all keys issued in the same second as the oldest one are expired.
    ///
    /// Returns `false` if even the oldest claims are within their minimum retention.
    fn ensure_capacity(&mut self) -> bool {
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
        self.remove_before(oldest_s + 1);
        true
    }

    /// Removes the claims of keys issued before a time, and expires those keys.
    fn remove_before(&mut self, expired_before_s: u64) {
        self.expired_before_s = self.expired_before_s.max(expired_before_s);
        while let Some(first) = self.claims.first_entry()
            && first.key().issued_s() < self.expired_before_s
        {
            first.remove();
        }
    }
}

/// Whether a dispatch is fenced.
fn is_fenced(fences: &BTreeMap<EntryId, u64>, request: RequestId) -> bool {
    let fence = fences.get(&request.entry());
    fence.is_some_and(|fence| request.sequence() < *fence)
}
