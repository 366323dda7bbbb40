//! Orders of the leader that are carried out outside of the replica.

use std::sync::Arc;

use masticfield_jobs::relay::ExecutorCall;
use masticfield_jobs::state::HostClaim;

/// An order for the component that talks to executors and to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum OutboundOrder {
    /// Calls an executor; the result is reported as an event.
    Call(ExecutorCall),
    /// Reads the platform's list of hosts; the result is reported as an event.
    ListHosts,
    /// Sends an order about a host to the platform; the result is reported as an event.
    Host(HostOrder),
    /// Drops what is kept for calls to all executors, as this replica no longer leads.
    Reset,
}

/// An order about a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostOrder {
    /// Name of the host.
    pub host: Arc<str>,
    /// What the host is claimed for.
    pub claim: HostClaim,
    /// Fencing number of the order, higher than that of every earlier order.
    pub fence: u64,
}
