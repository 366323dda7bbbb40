//! Membership of entries and upstreams.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::ids::Incarnation;
//! use masticfield_core::membership::{Announcement, UpstreamState};
//!
//! let news = Announcement {
//!     id: "cutter-1".into(),
//!     incarnation: Incarnation::new(1),
//!     service: "fabric-cutting".into(),
//!     address: "127.0.0.1:9000".parse()?,
//!     host: "host-1".into(),
//!     zone: "zone-a".into(),
//!     slots: 8,
//!     connections: 64,
//!     state: UpstreamState::Serving,
//! };
//! assert!(news.state.takes_new_work());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, Incarnation};

/// What an upstream says of itself; also the body of its HTTP announcement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identifier of the upstream, unique in the installation.
    pub id: Arc<str>,
    /// Rises with each restart of the upstream.
    pub incarnation: Incarnation,
    /// The service that the upstream runs.
    pub service: Arc<str>,
    /// Where the upstream takes requests.
    pub address: SocketAddr,
    /// The host that the upstream runs on.
    pub host: Arc<str>,
    /// The availability zone of the host.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// Whether it serves or leaves.
    pub state: UpstreamState,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

impl UpstreamState {
    /// Whether new work may be sent.
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// An entry as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryInfo {
    /// The entry.
    pub id: EntryId,
    /// Rises with each restart of the entry.
    pub incarnation: Incarnation,
    /// Where its peers reach it over UDP.
    pub peer_address: SocketAddr,
    /// The availability zone of its host.
    pub zone: Arc<str>,
}

/// A change in what an entry knows of its peers or of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipEvent {
    /// An entry joined, or came back under a new incarnation.
    EntryUp(EntryInfo),
    /// An entry said that it leaves.
    EntryLeft(EntryId, Incarnation),
    /// An entry was not heard of for the failure timeout.
    EntrySuspected(EntryId, Incarnation),
    /// An upstream announced itself or changed.
    Upstream(Announcement),
    /// The time to live of an upstream ran out.
    UpstreamExpired(Arc<str>, Incarnation),
}
