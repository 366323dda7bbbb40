//! Messages between entries.
//!
//! Each one fits into a datagram of 1,200 bytes: the text of an announcement is bounded, and
//! lists are cut where the sum of their items' largest sizes reaches the bound.

use std::sync::Arc;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, EntryInfo, UpstreamState};
use serde::{Deserialize, Serialize};

/// Room for the items of a list in a message, in bytes.
pub(super) const ITEM_BYTES: usize = 1_100;

/// Most refreshes in one heartbeat.
pub(super) const MAX_REFRESHES: usize = 64;

/// Largest size of an entry without its zone, in bytes.
const ENTRY_BYTES: usize = 48;

/// Longest text in an announcement, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// Largest sizes of the numbers of an item, in bytes.
const NUMBER_BYTES: usize = 64;

/// A message from one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The entry that sends.
    pub from: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The incarnation of the receiver, if the sender knows it; another one ignores the message.
    pub to: Option<Incarnation>,
    /// What it says.
    pub body: PeerBody,
}

/// What an entry says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A heartbeat.
    Beat(Beat),
    /// Changes of the upstreams that the sender holds.
    Page(Page),
    /// How far the sender has applied the receiver's pages.
    PageAck(Applied),
    /// Upstreams that leave, ahead of the pages.
    Leaving(Vec<LeavingUpstream>),
    /// Revisions of the leaving upstreams that have arrived.
    LeavingAck(Vec<u64>),
    /// Entries that the sender knows.
    Members(Vec<EntryInfo>),
    /// The sender leaves.
    Leave,
    /// The leave of the receiver has arrived.
    LeaveAck,
}

/// A heartbeat, which is also the digest of the sender's upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Number of the heartbeat, rising within an incarnation.
    pub seq: u32,
    /// Number of the last heartbeat that arrived from the receiver.
    pub echo: Option<u32>,
    /// Revision of the upstreams that the sender holds.
    pub revision: u64,
    /// How far the sender has applied the receiver's pages.
    pub applied: Applied,
    /// Digest of the entries that the sender knows.
    pub members: u32,
    /// Upstreams of the receiver that announced themselves to the sender.
    pub refreshed: Vec<Refresh>,
    /// The sender itself, until the receiver is known to know it.
    pub info: Option<EntryInfo>,
}

/// Position in the stream of a holder's pages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Number of the stream; a new one begins without any upstream.
    pub stream: u32,
    /// The revision up to which every change is known.
    pub revision: u64,
}

/// An upstream that announced itself to an entry that does not hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// Revision of the upstream at its holder.
    pub revision: u64,
    /// Milliseconds between the announcement and the sending of this message.
    pub age_ms: u32,
}

/// Consecutive changes of the upstreams that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of the stream.
    pub stream: u32,
    /// The page applies to what is known up to this revision.
    pub base: u64,
    /// The revision that is reached with this page.
    pub upto: u64,
    /// The changes in the order of their revisions.
    pub changes: Vec<Change>,
}

/// A change of an upstream that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change made.
    pub revision: u64,
    /// What the holder holds now.
    pub held: HeldUpstream,
}

/// What an entry holds of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldUpstream {
    /// Its last announcement.
    Known(Announcement),
    /// Nothing more; the identifier of the upstream.
    Dropped(Arc<str>),
}

/// An upstream that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// Revision of the upstream at the sender.
    pub revision: u64,
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
}

impl HeldUpstream {
    /// Largest size in a message, in bytes.
    pub(super) fn size_bound(&self) -> usize {
        match self {
            Self::Known(news) => text_of(news).map(str::len).iter().sum::<usize>() + NUMBER_BYTES,
            Self::Dropped(id) => id.len() + NUMBER_BYTES,
        }
    }

    /// Whether the upstream is held as leaving.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(self, Self::Known(news) if news.state == UpstreamState::Leaving)
    }
}

impl LeavingUpstream {
    /// Largest size in a message, in bytes.
    pub(super) fn size_bound(&self) -> usize {
        self.id.len() + 24
    }
}

/// The texts of an announcement.
pub(super) fn text_of(news: &Announcement) -> [&str; 4] {
    [&news.id, &news.service, &news.host, &news.zone]
}

/// Largest size of an entry in a message, in bytes.
pub(super) fn entry_size_bound(info: &EntryInfo) -> usize {
    info.zone.len() + ENTRY_BYTES
}
