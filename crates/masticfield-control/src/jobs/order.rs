//! Orders of the leader that are carried out outside of the replica.

use std::sync::Arc;

use masticfield_jobs::leader::Call;
use masticfield_jobs::state::{ExecutorKey, HostClaim};

/// An order for the component that talks to executors and to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum OutboundOrder {
    /// Calls an executor; the result is reported as an event.
    Call(ExecutorCall),
    /// Reads the platform's list of hosts; the result is reported as an event.
    ListHosts,
    /// Sends an order about a host to the platform; the result is reported as an event.
    Host(HostOrder),
    /// Drops what is kept for calls to an executor whose incarnation has ended, such as its limit of
    /// orders in flight.
    Disconnect(ExecutorKey),
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

/// A call to an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutorCall {
    /// The executor.
    pub executor: ExecutorKey,
    /// Identifier of the executor; one with another identifier at the address rejects the call.
    pub id: Arc<str>,
    /// Host and port of the executor.
    pub address: Arc<str>,
    /// Fencing number: the term of the leader. Executors reject a lower one than they have seen.
    pub fence: u64,
    /// What the executor is asked to do.
    pub call: Call,
}
