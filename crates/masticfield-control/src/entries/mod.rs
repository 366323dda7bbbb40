//! The connections of entries: configuration, leases and claims.

mod connection;
mod plugin;
mod registry;

pub(crate) use registry::EntryRegistry;
