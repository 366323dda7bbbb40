//! The actor that admits requests and chooses an executor for each.
//!
//! The decisions are made in [`masticfield_routing::router`]; the actor carries them out.

mod entries;
mod metrics;
mod plugin;
mod router_actor;

pub(crate) use plugin::{OutboxSlot, SlotOutbox};
pub(crate) use router_actor::{Admit, Configure, Finish, Learn, ReceiveSlots, RouterActor, Step};
