//! Connections of entries: configuration, leases and claims.

mod connection;
mod leading;
mod lease_actor;
mod lease_handle;
mod link;
mod plugin;
mod upstream_reports;

pub(crate) use lease_handle::LeaseHandle;
pub(crate) use upstream_reports::UpstreamReports;
