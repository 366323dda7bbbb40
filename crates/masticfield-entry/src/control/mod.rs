//! The connection to the control replicas, which carries the configuration, leases and claims.

mod leased_config;
mod link;
mod plugin;
mod session;

pub(crate) use leased_config::LeasedConfig;
pub(crate) use link::ControlLink;
