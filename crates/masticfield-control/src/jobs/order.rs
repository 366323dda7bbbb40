//! Calls that the leader wants made.

use std::sync::Arc;

use masticfield_jobs::leader::Call;
use masticfield_jobs::state::ExecutorKey;

/// Something to do with an executor.
#[derive(Debug, Clone, PartialEq)]
pub enum ExecutorOrder {
    /// A call to make, whose result is an event for the leader.
    Call(CallOrder),
    /// Connections to close, as the executor's life has ended.
    Forget(ExecutorKey),
    /// Everything to drop, as this replica no longer leads.
    Reset,
}

/// A call to an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct CallOrder {
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
