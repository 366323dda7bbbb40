//! Messages between entries.
//!
//! Every message fits into a datagram of 1,200 bytes: the texts of an announcement are bounded,
//! and a list is cut before the maximum sizes of its items exceed [`ITEM_BYTES`] in total.

use std::sync::Arc;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, EntryInfo, UpstreamState};
use serde::{Deserialize, Serialize};

/// Maximum size of the items of a list in a message, in bytes.
pub(super) const ITEM_BYTES: usize = 1_100;

/// Maximum number of refreshes in a heartbeat.
pub(super) const MAX_REFRESHES: usize = 64;

/// Maximum encoded size of an entry without its zone, in bytes.
const ENTRY_BYTES: usize = 48;

/// Maximum length of a text in an announcement, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// Maximum encoded size of all numbers of an item, in bytes.
const NUMBER_BYTES: usize = 64;

/// A message from one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sending entry.
    pub from: EntryId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Incarnation of the receiver, if the sender knows it; other incarnations ignore the message.
    pub to: Option<Incarnation>,
    /// The content of the message.
    pub body: PeerBody,
}

/// The content of a message between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A periodic sign of life.
    Heartbeat(Heartbeat),
    /// Changes of the upstreams that the sender holds.
    Page(Page),
    /// Position up to which the sender has applied the receiver's pages.
    PageAck(StreamPosition),
    /// Leaving upstreams, sent ahead of the pages.
    Leaving(Vec<LeavingUpstream>),
    /// Revisions of the leaving upstreams that have arrived.
    LeavingAck(Vec<u64>),
    /// Entries known to the sender.
    Members(Vec<EntryInfo>),
    /// The sender leaves.
    Leave,
    /// The sender has received the receiver's leave.
    LeaveAck,
}

/// A heartbeat, which also confirms the upstreams that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat within the sender's incarnation.
    pub seq: u32,
    /// Sequence number of the last heartbeat that arrived from the receiver.
    pub echo: Option<u32>,
    /// Revision of the upstreams that the sender holds.
    pub revision: u64,
    /// Position up to which the sender has applied the receiver's pages.
    pub applied: StreamPosition,
    /// Digest of the entries known to the sender. A receiver whose digest differs answers with
    /// [`PeerBody::Members`].
    pub members_digest: u32,
    /// Upstreams held by the receiver that announced themselves to the sender.
    pub refreshes: Vec<Refresh>,
    /// The sender itself, until the receiver is known to have it.
    pub info: Option<EntryInfo>,
}

/// Position in the stream of a holder's pages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// Number of the stream; each new stream starts without upstreams.
    pub stream: u32,
    /// Revision up to which all changes are applied.
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
    /// Revision up to which the receiver must have applied all changes.
    pub base: u64,
    /// Revision that the receiver reaches with this page.
    pub upto: u64,
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
}

/// A change of an upstream that an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change created.
    pub revision: u64,
    /// The holder's record after the change.
    pub record: UpstreamRecord,
}

/// A holder's record of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamRecord {
    /// The upstream is held, with this announcement.
    Announced(Announcement),
    /// The upstream with this identifier is no longer held.
    Removed(Arc<str>),
}

/// An upstream that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// Revision of the upstream at the sender.
    pub revision: u64,
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Incarnation that leaves.
    pub incarnation: Incarnation,
}

impl UpstreamRecord {
    /// Maximum encoded size, in bytes.
    pub(super) fn size_bound(&self) -> usize {
        match self {
            Self::Announced(announcement) => {
                texts(announcement).map(str::len).iter().sum::<usize>() + NUMBER_BYTES
            }
            Self::Removed(id) => id.len() + NUMBER_BYTES,
        }
    }

    /// Whether the upstream is held and leaving.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(self, Self::Announced(upstream) if upstream.state == UpstreamState::Leaving)
    }
}

impl LeavingUpstream {
    /// Maximum encoded size, in bytes.
    pub(super) fn size_bound(&self) -> usize {
        self.id.len() + 24
    }
}

/// The texts of an announcement, each of at most [`MAX_TEXT_BYTES`].
pub(super) fn texts(announcement: &Announcement) -> [&str; 4] {
    [
        &announcement.id,
        &announcement.service,
        &announcement.host,
        &announcement.zone,
    ]
}

/// Maximum encoded size of an entry, in bytes.
pub(super) fn entry_size_bound(info: &EntryInfo) -> usize {
    info.zone.len() + ENTRY_BYTES
}
