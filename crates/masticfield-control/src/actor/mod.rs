//! The actor that holds the state of a replica.

mod control_actor;
mod handle;
mod plugin;

pub(crate) use control_actor::ControlActor;
pub use handle::{ControlHandle, ProposalError};
