//! The actor that chooses an executor for each request.

mod plugin;
mod router_actor;

pub(crate) use router_actor::{Admission, Admit, Finish, Learn, RouterActor, Slot};
