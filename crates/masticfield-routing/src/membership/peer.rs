//! An entry that this one has heard of directly.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticfield_core::membership::EntryInfo;

use super::message::{Applied, Refresh};
use super::remote::RemoteShard;

/// How often a refresh is sent, so that a lost datagram does not lose it.
const REFRESH_COPIES: u8 = 3;

/// Most refreshes that wait for one peer.
const MAX_WAITING_REFRESHES: usize = 4_096;

/// What is known of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) info: EntryInfo,
    pub(super) status: PeerStatus,
    pub(super) heard: Instant,
    /// Number of the last heartbeat that arrived.
    pub(super) seq: u32,
    /// Whether the last message of the peer was addressed to this incarnation.
    pub(super) knows_us: bool,
    pub(super) shard: RemoteShard,
    /// The upstreams of the incarnation before, for as long as its word counts.
    pub(super) previous: Option<RemoteShard>,
    pub(super) stream: Stream,
    refreshes: Vec<WaitingRefresh>,
}

/// Whether a peer takes part.
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
    /// When the last page was sent, and up to which revision.
    pub(super) sent: Option<(Instant, u64)>,
    /// Revisions of leaving upstreams that have not been acknowledged.
    pub(super) leaving: BTreeSet<u64>,
}

#[derive(Debug)]
struct WaitingRefresh {
    revision: u64,
    at: Instant,
    copies: u8,
}

impl Peer {
    /// Creates a live peer that was heard of `now`.
    pub(super) fn new(info: EntryInfo, now: Instant, stream: u32) -> Self {
        Self {
            shard: RemoteShard::new(),
            info,
            status: PeerStatus::Live,
            heard: now,
            seq: 0,
            knows_us: false,
            previous: None,
            stream: Stream::new(stream),
            refreshes: Vec::new(),
        }
    }

    /// Whether the peer takes part.
    pub(super) fn is_live(&self) -> bool {
        self.status == PeerStatus::Live
    }

    /// The shards of the peer whose word may still count.
    pub(super) fn shards(&self) -> impl Iterator<Item = &RemoteShard> {
        std::iter::once(&self.shard).chain(&self.previous)
    }

    /// Queues the news that an upstream of the peer announced itself.
    pub(super) fn queue_refresh(&mut self, revision: u64, at: Instant) {
        self.refreshes
            .retain(|waiting| waiting.revision != revision);
        if self.refreshes.len() < MAX_WAITING_REFRESHES {
            self.refreshes.push(WaitingRefresh {
                revision,
                at,
                copies: REFRESH_COPIES,
            });
        }
    }

    /// Takes the refreshes for the next heartbeat, at most `limit`.
    pub(super) fn take_refreshes(&mut self, now: Instant, limit: usize) -> Vec<Refresh> {
        // Those with most copies left come first, so that a full heartbeat starves none.
        self.refreshes
            .sort_by_key(|waiting| u8::MAX - waiting.copies);
        let due = self.refreshes.iter_mut().take(limit);
        let refreshes = due.map(|waiting| {
            waiting.copies -= 1;
            Refresh {
                revision: waiting.revision,
                age_ms: age_ms(now.saturating_duration_since(waiting.at)),
            }
        });
        let refreshes = refreshes.collect();
        self.refreshes.retain(|waiting| waiting.copies > 0);
        refreshes
    }
}

impl Stream {
    /// Creates a stream in which nothing has been sent.
    pub(super) fn new(number: u32) -> Self {
        Self {
            number,
            acknowledged: 0,
            sent: None,
            leaving: BTreeSet::new(),
        }
    }

    /// Notes an acknowledgement; returns whether the peer knows another stream.
    pub(super) fn acknowledge(&mut self, applied: Applied) -> bool {
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

    /// Whether a page is to be sent now.
    pub(super) fn is_due(&self, now: Instant, revision: u64, repeat: Duration) -> bool {
        self.acknowledged < revision
            && self
                .sent
                .is_none_or(|(at, _)| now.saturating_duration_since(at) >= repeat)
    }
}

/// Milliseconds of an age, rounded up.
fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
