//! The other entries: membership and slots over UDP, lookups of stored responses over TCP.
//!
//! [`masticfield_routing::membership`] decides; the actor carries its actions out.

mod ask;
mod datagrams;
mod metrics;
mod peer_actor;
mod plugin;

pub(crate) use ask::look_up_response;
pub(crate) use peer_actor::{Announce, FindPeer, PeerActor};
