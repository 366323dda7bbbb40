//! Membership of entries, and the table of upstreams that they share.
//!
//! Every entry sends each other entry two heartbeats per second. An upstream is held by the entry
//! that it first announced itself to. The holder numbers the changes of its upstreams with
//! revisions and sends them in pages, which it repeats until the peer acknowledges them. A
//! heartbeat carries the holder's revision and so confirms all its upstreams at once. Without
//! changes no single upstream is mentioned.
//!
//! A confirmation counts from the time at which the peer sent the heartbeat that the holder
//! echoes, not from its arrival. A delayed datagram therefore prolongs nothing.
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
    Change, Heartbeat, LeavingUpstream, MAX_TEXT_BYTES, Page, PeerBody, PeerMessage, Refresh,
    StreamPosition, UpstreamRecord,
};
pub use node::Membership;
pub use table::MAX_UPSTREAMS;
pub use timing::Timing;
pub use version::UpstreamVersion;
