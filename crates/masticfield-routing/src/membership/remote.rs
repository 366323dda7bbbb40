//! Upstreams held by a peer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::Announcement;

use super::message::StreamPosition;

/// This entry's copy of the upstreams held by a peer.
#[derive(Debug)]
pub(super) struct RemoteShard {
    applied: StreamPosition,
    records: HashMap<UpstreamKey, Record>,
    /// Time at or after which the peer last confirmed all applied changes.
    confirmed_at: Option<Instant>,
    /// Whether the confirmation was recent at the last check.
    confirmed: bool,
}

#[derive(Debug)]
struct Record {
    revision: u64,
    announcement: Announcement,
}

impl RemoteShard {
    /// Creates an empty shard, of which no page has arrived.
    pub(super) fn new() -> Self {
        Self {
            applied: StreamPosition::default(),
            records: HashMap::new(),
            confirmed_at: None,
            confirmed: false,
        }
    }

    /// The position up to which all changes are applied.
    pub(super) const fn applied(&self) -> StreamPosition {
        self.applied
    }

    /// The announcement of an upstream; `None` if the peer does not hold it.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&Announcement> {
        self.records.get(&key).map(|record| &record.announcement)
    }

    /// The revision of an upstream at the peer; `None` if the peer does not hold it.
    pub(super) fn revision_of(&self, key: UpstreamKey) -> Option<u64> {
        self.records.get(&key).map(|record| record.revision)
    }

    /// The upstreams that the peer holds.
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.records.keys().copied()
    }

    /// Whether the peer confirmed the shard less than `ttl` ago.
    pub(super) fn is_confirmed(&self, now: Instant, ttl: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < ttl)
    }

    /// Records that the peer was at `revision` at time `at` or later.
    ///
    /// This confirms the shard only if all changes up to that revision are applied.
    pub(super) fn confirm(&mut self, at: Instant, revision: u64) {
        if revision <= self.applied.revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Checks again whether the shard is confirmed; returns whether that has changed.
    pub(super) fn update_confirmed(&mut self, now: Instant, ttl: Duration) -> bool {
        let confirmed = self.is_confirmed(now, ttl);
        std::mem::replace(&mut self.confirmed, confirmed) != confirmed
    }

    /// Starts a new stream without upstreams; returns those that were removed.
    pub(super) fn reset(&mut self, stream: u32) -> Vec<UpstreamKey> {
        self.applied = StreamPosition {
            stream,
            revision: 0,
        };
        self.confirmed_at = None;
        self.records.drain().map(|(key, _)| key).collect()
    }

    /// Inserts or replaces an upstream.
    pub(super) fn insert(&mut self, key: UpstreamKey, revision: u64, announcement: Announcement) {
        self.records.insert(
            key,
            Record {
                revision,
                announcement,
            },
        );
    }

    /// Removes an upstream.
    pub(super) fn remove(&mut self, key: UpstreamKey) {
        self.records.remove(&key);
    }

    /// Records that all changes up to `revision` are applied.
    pub(super) fn advance(&mut self, revision: u64) {
        self.applied.revision = revision;
    }
}
