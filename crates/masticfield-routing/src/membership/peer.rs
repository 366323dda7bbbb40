//! Other entries that have introduced themselves to this one.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticfield_core::membership::EntryInfo;

use super::message::{Refresh, StreamPosition};
use super::remote::RemoteShard;

/// Number of heartbeats that carry the same refresh, as any of them may be lost.
const REFRESH_COPIES: u8 = 3;

/// Maximum number of refreshes queued for one peer.
const MAX_QUEUED_REFRESHES: usize = 4_096;

/// State of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) info: EntryInfo,
    pub(super) status: PeerStatus,
    /// When the last heartbeat arrived.
    pub(super) last_contact: Instant,
    /// Sequence number of the last heartbeat that arrived.
    pub(super) seq: u32,
    /// Whether the peer's last message was addressed to this incarnation.
    pub(super) knows_us: bool,
    pub(super) shard: RemoteShard,
    /// The upstreams of the peer's previous incarnation, until their confirmation expires.
    pub(super) previous: Option<RemoteShard>,
    pub(super) stream: Stream,
    refreshes: Vec<QueuedRefresh>,
}

/// Whether a peer takes part in the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerStatus {
    Live,
    Suspected,
    Left,
}

/// The stream of this entry's pages to a peer.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) number: u32,
    pub(super) acknowledged: u64,
    /// When the last unacknowledged page was sent, and up to which revision.
    pub(super) sent: Option<(Instant, u64)>,
    /// Unacknowledged revisions of leaving upstreams.
    pub(super) leaving: BTreeSet<u64>,
}

#[derive(Debug)]
struct QueuedRefresh {
    revision: u64,
    announced_at: Instant,
    copies: u8,
}

impl Peer {
    /// Creates a live peer; `now` counts as its last contact.
    pub(super) fn new(info: EntryInfo, now: Instant, stream: u32) -> Self {
        Self {
            shard: RemoteShard::new(),
            info,
            status: PeerStatus::Live,
            last_contact: now,
            seq: 0,
            knows_us: false,
            previous: None,
            stream: Stream::new(stream),
            refreshes: Vec::new(),
        }
    }

    /// Whether the peer is neither suspected nor has left.
    pub(super) fn is_live(&self) -> bool {
        self.status == PeerStatus::Live
    }

    /// The shards of the present incarnation and, if it is kept, of the previous one.
    pub(super) fn shards(&self) -> impl Iterator<Item = &RemoteShard> {
        std::iter::once(&self.shard).chain(&self.previous)
    }

    /// Queues a refresh for the peer, which holds the upstream that announced itself.
    pub(super) fn queue_refresh(&mut self, revision: u64, announced_at: Instant) {
        self.refreshes.retain(|queued| queued.revision != revision);
        if self.refreshes.len() < MAX_QUEUED_REFRESHES {
            self.refreshes.push(QueuedRefresh {
                revision,
                announced_at,
                copies: REFRESH_COPIES,
            });
        }
    }

    /// Takes up to `limit` refreshes for the next heartbeat.
    pub(super) fn take_refreshes(&mut self, now: Instant, limit: usize) -> Vec<Refresh> {
        // Refreshes that were sent less often come first, so that full heartbeats starve none.
        self.refreshes.sort_by_key(|queued| u8::MAX - queued.copies);
        let due = self.refreshes.iter_mut().take(limit);
        let refreshes = due.map(|queued| {
            queued.copies -= 1;
            Refresh {
                revision: queued.revision,
                age_ms: age_ms(now.saturating_duration_since(queued.announced_at)),
            }
        });
        let refreshes = refreshes.collect();
        self.refreshes.retain(|queued| queued.copies > 0);
        refreshes
    }
}

impl Stream {
    /// Creates a stream of which nothing has been sent.
    pub(super) fn new(number: u32) -> Self {
        Self {
            number,
            acknowledged: 0,
            sent: None,
            leaving: BTreeSet::new(),
        }
    }

    /// Applies an acknowledgement; returns whether a new stream is needed.
    ///
    /// This is the case if the peer follows another stream although it acknowledged this one
    /// before, for instance because it had forgotten this entry.
    pub(super) fn acknowledge(&mut self, applied: StreamPosition) -> bool {
        if applied.stream != self.number {
            return self.acknowledged > 0;
        }
        self.acknowledged = self.acknowledged.max(applied.revision);
        self.leaving = self.leaving.split_off(&(self.acknowledged + 1));
        if self.sent.is_some_and(|(_, upto)| upto <= self.acknowledged) {
            self.sent = None;
        }
        false
    }

    /// Whether a page up to `revision` is to be sent now; unacknowledged ones are repeated.
    pub(super) fn is_due(&self, now: Instant, revision: u64, repeat_interval: Duration) -> bool {
        self.acknowledged < revision
            && self
                .sent
                .is_none_or(|(at, _)| now.saturating_duration_since(at) >= repeat_interval)
    }
}

/// An age in milliseconds, rounded up.
fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
