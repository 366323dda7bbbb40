//! Calls that the leader wants made.

use std::sync::Arc;

use masticfield_jobs::leader::Call;
use masticfield_jobs::state::{ExecutorKey, HostClaim};

/// Something to do with an executor.
#[derive(Debug, Clone, PartialEq)]
pub enum OutboundOrder {
    /// A call to make, whose result is an event for the leader.
    Call(ExecutorCall),
    /// The list of hosts to read.
    ListHosts,
    /// An order about a host.
    Host(HostOrder),
    /// Connections to close, as the executor's life has ended.
    Forget(ExecutorKey),
    /// Everything to drop, as this replica no longer leads.
    Reset,
}

/// An order about a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostOrder {
    /// The host.
    pub host: Arc<str>,
    /// What is asked.
    pub claim: HostClaim,
    /// Fence of the order, higher than that of every earlier one.
    pub fence: u64,
}

/// A call to an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutorCall {
    /// The executor.
    pub executor: ExecutorKey,
    /// Identifier of the life that is meant.
    pub id: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Fence of the leadership; executors obey none that is lower than one they have seen.
    pub fence: u64,
    /// The call.
    pub call: Call,
}
