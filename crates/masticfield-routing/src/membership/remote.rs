//! The upstreams that a peer holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use masticfield_core::ids::UpstreamKey;
use masticfield_core::membership::Announcement;

use super::message::Applied;

/// A peer's upstreams, as far as its pages have arrived.
#[derive(Debug)]
pub(super) struct RemoteShard {
    applied: Applied,
    records: HashMap<UpstreamKey, Record>,
    proven: Option<Instant>,
    trusted: bool,
}

#[derive(Debug)]
struct Record {
    revision: u64,
    news: Announcement,
}

impl RemoteShard {
    /// Creates the shard of a peer from which nothing has arrived.
    pub(super) fn new() -> Self {
        Self {
            applied: Applied::default(),
            records: HashMap::new(),
            proven: None,
            trusted: false,
        }
    }

    /// The position up to which every change is known.
    pub(super) const fn applied(&self) -> Applied {
        self.applied
    }

    /// The announcement of an upstream that the peer holds.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&Announcement> {
        self.records.get(&key).map(|record| &record.news)
    }

    /// The revision at which the peer holds an upstream.
    pub(super) fn revision_of(&self, key: UpstreamKey) -> Option<u64> {
        self.records.get(&key).map(|record| record.revision)
    }

    /// The upstreams that the peer holds.
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.records.keys().copied()
    }

    /// Whether the peer's word, given at the earliest when it was asked for, is recent.
    pub(super) fn is_vouched(&self, now: Instant, vouch: Duration) -> bool {
        self.proven
            .is_some_and(|at| now.saturating_duration_since(at) < vouch)
    }

    /// Notes that the peer, asked at `at` or later, held its upstreams at `revision`.
    pub(super) fn prove(&mut self, at: Instant, revision: u64) {
        if revision <= self.applied.revision {
            self.proven = self.proven.max(Some(at));
        }
    }

    /// Notes whether the peer's word is recent; returns whether that changed.
    pub(super) fn update_trust(&mut self, now: Instant, vouch: Duration) -> bool {
        let trusted = self.is_vouched(now, vouch);
        std::mem::replace(&mut self.trusted, trusted) != trusted
    }

    /// Begins a later stream with no upstreams; returns those that were known.
    pub(super) fn restart(&mut self, stream: u32) -> Vec<UpstreamKey> {
        self.applied = Applied {
            stream,
            revision: 0,
        };
        self.proven = None;
        self.records.drain().map(|(key, _)| key).collect()
    }

    /// Notes that the peer holds an upstream.
    pub(super) fn hold(&mut self, key: UpstreamKey, revision: u64, news: Announcement) {
        self.records.insert(key, Record { revision, news });
    }

    /// Notes that the peer holds an upstream no longer.
    pub(super) fn release(&mut self, key: UpstreamKey) {
        self.records.remove(&key);
    }

    /// Notes that every change up to `revision` is known.
    pub(super) fn advance(&mut self, revision: u64) {
        self.applied.revision = revision;
    }
}
