//! The other entries: membership over UDP, and first answers over TCP.
//!
//! The decisions are made in [`masticfield_routing::membership`]; the actor carries them out.

mod ask;
mod datagrams;
mod metrics;
mod peer_actor;
mod plugin;

pub(crate) use ask::ask_answer;
pub(crate) use peer_actor::{Announced, FindPeer, PeerActor};
