//! The actor that holds the replicated state.

mod control_actor;
mod handle;
mod plugin;
mod state_changes;

pub(crate) use control_actor::{ControlActor, StateChange};
pub use handle::{ControlHandle, ProposalError};
pub(crate) use state_changes::StateChanges;
