//! The actor that holds the state of a replica.

mod changes;
mod control_actor;
mod handle;
mod plugin;

pub(crate) use changes::StateChanges;
pub(crate) use control_actor::{ControlActor, StateChange};
pub use handle::{ControlHandle, ProposalError};
