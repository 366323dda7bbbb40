//! The connection to the control replicas: configuration, lease and claims.

mod lease;
mod link;
mod plugin;
mod session;

pub(crate) use lease::Served;
pub(crate) use link::ControlLink;
