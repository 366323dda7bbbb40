//! Membership of entries and upstreams.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::ids::Incarnation;
//! use masticfield_core::membership::{Announcement, UpstreamState};
//!
//! let announcement = Announcement {
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
//! assert!(announcement.state.takes_new_work());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, Incarnation};

/// Description that an upstream publishes of itself; the body of its HTTP announcement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identifier of the upstream, unique within the installation.
    pub id: Arc<str>,
    /// Incarnation of the upstream, which rises with each restart.
    pub incarnation: Incarnation,
    /// Name of the service that the upstream runs.
    pub service: Arc<str>,
    /// Address that the upstream accepts requests on.
    pub address: SocketAddr,
    /// Name of the host that the upstream runs on.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Number of connections that it accepts.
    pub connections: u16,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
}

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    Serving,
    /// The upstream finishes its requests in flight and accepts no new ones.
    Leaving,
}

impl UpstreamState {
    /// Returns whether new requests may be sent to the upstream.
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// Description of an entry for its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Identifier of the entry, unique within the installation.
    pub id: EntryId,
    /// Incarnation of the entry, which rises with each restart.
    pub incarnation: Incarnation,
    /// UDP address that receives the messages of its peers.
    pub peer_address: SocketAddr,
    /// Availability zone of its host.
    pub zone: Arc<str>,
}

/// A change in an entry's view of its peers or of the upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipEvent {
    /// An entry joined, or came back under a new incarnation.
    EntryUp(EntryInfo),
    /// An entry announced that it leaves.
    EntryLeft(EntryId, Incarnation),
    /// No message about an entry arrived within the failure timeout.
    EntrySuspected(EntryId, Incarnation),
    /// An upstream announced itself, or announced a change.
    Upstream(Announcement),
    /// The last announcement of an upstream outlived its time to live.
    UpstreamExpired(Arc<str>, Incarnation),
}
