//! Membership of entries, and the table of upstreams that they share.
//!
//! Every entry sends each other one two heartbeats a second. An upstream is held by the entry that
//! it first announced itself to; the holder numbers its changes with a revision and sends them
//! in pages, repeated until the peer acknowledges them. A heartbeat names the revision, and so
//! vouches for all upstreams of the holder at once: at rest no upstream is mentioned.
//!
//! The word of a holder counts from when the peer sent the heartbeat that it echoes, never from
//! its arrival. Late datagrams therefore prolong nothing.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//!
//! use masticfield_core::ids::{EntryId, Incarnation};
//! use masticfield_core::membership::EntryInfo;
//! use masticfield_routing::membership::{Action, Input, Membership, Timing};
//!
//! let me = EntryInfo {
//!     id: EntryId::new(1),
//!     incarnation: Incarnation::new(1),
//!     peer_address: "127.0.0.1:7001".parse()?,
//!     zone: "zone-a".into(),
//! };
//! let mut membership = Membership::new(me, ["127.0.0.1:7002".parse()?], Timing::new());
//! let actions = membership.step(Instant::now(), Input::Tick);
//! assert!(matches!(actions.as_slice(), [Action::Send { .. }]));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod contacts;
mod defect;
mod input;
mod local;
mod message;
mod node;
mod peer;
mod receive;
mod remote;
mod send;
mod table;
mod timing;
mod upstreams;
mod version;

pub use defect::Defect;
pub use input::{Action, AnnouncementRefusal, Input};
pub use message::{
    Applied, Beat, Change, HeldUpstream, LeavingUpstream, MAX_TEXT_BYTES, Page, PeerBody,
    PeerMessage, Refresh,
};
pub use node::Membership;
pub use table::MAX_UPSTREAMS;
pub use timing::Timing;
pub use version::UpstreamVersion;
