//! What the leader wants done.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ReplyId;
use crate::job::RunId;
use crate::state::{Command, ExecutorKey, HostClaim, JobStatus};

/// Commands to commit, and what to do once they are committed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Decision {
    /// The commands, in order.
    pub commands: Vec<Command>,
    /// What to do then, and not before every earlier turn is committed.
    pub after_commit: Vec<Effect>,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers someone.
    Reply {
        /// Whom.
        reply_to: ReplyId,
        /// What.
        reply: Reply,
    },
    /// Calls an executor.
    Call {
        /// The executor.
        executor: ExecutorKey,
        /// Identifier of the life that is meant.
        id: Arc<str>,
        /// Its address.
        address: Arc<str>,
        /// The call.
        call: Call,
    },
    /// Asks the platform for the list of hosts.
    ListHosts,
    /// Asks the platform to move a host or to begin its upkeep.
    OrderHost {
        /// The host.
        host: Arc<str>,
        /// What is asked.
        claim: HostClaim,
        /// Number of the order in this leadership; it rises.
        number: u64,
    },
    /// Closes the connections to an executor, whose life has ended.
    Disconnect {
        /// The executor.
        executor: ExecutorKey,
    },
}

/// A call to an executor.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// To start a run.
    Start {
        /// The run.
        run: RunId,
        /// What the task is given.
        payload: Arc<str>,
        /// Saved progress to go on from.
        saved: Option<Arc<str>>,
        /// End of the lease on the executor's clock, in milliseconds.
        deadline_ms: u64,
    },
    /// To stop a run.
    Stop {
        /// The run.
        run: RunId,
    },
    /// To go on with what runs, and tell of it.
    Hold {
        /// End of the lease on the executor's clock, in milliseconds.
        deadline_ms: Option<u64>,
        /// Number of the last end that is noted.
        acknowledged: u64,
        /// How long the answer may wait for an end.
        wait: Duration,
        /// When it is asked.
        sent: Duration,
    },
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Done; for a job, it is stored.
    Done,
    /// Not done, and it never will be.
    Refused(Refusal),
    /// No queue is there.
    NoQueue,
    /// No such job is known.
    NoJob,
    /// What was sent is malformed.
    Malformed,
    /// Where a job stands.
    Status(JobStatus),
    /// Accepted jobs of a queue that have not begun.
    Pending(u64),
    /// Whether it was done is not known.
    Unknown,
}

/// Why something is not done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Too much waits; there is room again after this many milliseconds.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// This replica cannot tell or decide now.
    NotReady,
}

impl Reply {
    /// The name in logs and metrics.
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
        }
    }
}
