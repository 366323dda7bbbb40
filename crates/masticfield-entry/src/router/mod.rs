//! The actor that admits requests and chooses an executor for each.
//!
//! [`masticfield_routing::router`] decides; the actor carries its actions out.

mod entries;
mod metrics;
mod plugin;
mod router_actor;

pub(crate) use plugin::{SlotOutbox, SlotOutboxCell};
pub(crate) use router_actor::{
    Admit, ApplyMembershipEvent, Configure, FinishDispatch, ReceiveSlotMessage, RouterActor, Step,
};
