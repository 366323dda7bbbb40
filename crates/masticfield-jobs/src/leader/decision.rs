//! What the leader decides: commands to commit, and effects to carry out afterwards.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ReplyId;
use crate::job::RunId;
use crate::state::{Command, ExecutorKey, HostClaim, JobStatus};

/// Commands to commit, and effects to carry out once they are committed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Decision {
    /// Commands to commit, in order.
    pub commands: Vec<Command>,
    /// Effects to carry out, in order, once this and every earlier decision is committed.
    pub after_commit: Vec<Effect>,
}

/// An action outside of the replicated state.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Sends a pending reply.
    Reply {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// Reply to send.
        reply: Reply,
    },
    /// Calls an executor.
    Call {
        /// Executor to call.
        executor: ExecutorKey,
        /// Identifier of the executor.
        id: Arc<str>,
        /// Network address of the executor.
        address: Arc<str>,
        /// Call to send.
        call: Call,
    },
    /// Requests the list of hosts from the platform.
    ListHosts,
    /// Requests an operation on a host from the platform.
    OrderHost {
        /// Name of the host.
        host: Arc<str>,
        /// Operation to request.
        claim: HostClaim,
        /// Number of the request; rises within a leadership.
        number: u64,
    },
    /// Closes the connections to an executor that has ended.
    Disconnect {
        /// Executor that has ended.
        executor: ExecutorKey,
    },
}

/// A call to an executor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Starts a run.
    Start {
        /// Run to start.
        run: RunId,
        /// Payload of the job.
        payload: Arc<str>,
        /// Saved progress to resume from, if any.
        saved: Option<Arc<str>>,
        /// End of the lease on the executor's clock, in milliseconds.
        deadline_ms: u64,
    },
    /// Stops a run.
    Stop {
        /// Run to stop.
        run: RunId,
    },
    /// Renews the lease of all runs, and polls the executor for its runs and ends.
    Hold {
        /// End of the lease on the executor's clock, in milliseconds; `None` if that clock is not
        /// known, which leaves the lease as it is.
        deadline_ms: Option<u64>,
        /// Number of the last end that is committed; the executor may forget it and earlier ones.
        acknowledged: u64,
        /// Maximum time for which the executor may delay its answer until a run ends.
        wait: Duration,
        /// Monotonic time at which the call is sent; returned in the event with the result.
        sent: Duration,
    },
}

/// A reply to a caller, an executor or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was carried out; a submitted job is stored.
    Done,
    /// The request was not carried out and never will be.
    Refused(Refusal),
    /// No queue matches the request.
    NoQueue,
    /// The job is not known.
    NoJob,
    /// The request is malformed.
    Malformed,
    /// Status of the job.
    Status(JobStatus),
    /// Number of accepted jobs of the queue that have not started.
    Pending(u64),
    /// It is not known whether the request was carried out.
    Unknown,
    /// The queue needs a key, and the request has none that is known.
    Unauthorized,
    /// The job belongs to another workspace.
    Forbidden,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The backlog is too long for the job to be useful.
    Busy {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// This replica cannot answer or decide now.
    NotReady,
}

impl Reply {
    /// Returns the name used in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused(Refusal::Busy { .. }) => "refused-busy",
            Self::Refused(Refusal::NotReady) => "refused-not-ready",
            Self::NoQueue => "no-queue",
            Self::NoJob => "no-job",
            Self::Malformed => "malformed",
            Self::Status(_) => "status",
            Self::Pending(_) => "pending",
            Self::Unknown => "unknown",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
        }
    }
}
