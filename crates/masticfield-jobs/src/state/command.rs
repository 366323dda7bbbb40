//! What changes the state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ExecutorIncarnation, ExecutorKey, HostClaim, WaveOrder};
use crate::job::{JobId, JobSpec, RunId};
use crate::queue::{QueueId, QueuesConfig};

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is the highest.
    Configure {
        /// The configuration.
        config: QueuesConfig,
        /// The configuration as the operator sent it.
        content: Arc<[u8]>,
    },
    /// Stores a job.
    Submit {
        /// Identifier.
        job: JobId,
        /// Its queue.
        queue: QueueId,
        /// What was handed in.
        spec: JobSpec,
        /// Time of day, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Time of day, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Takes a life of an executor into the state.
    Enlist {
        /// Its new key.
        executor: ExecutorKey,
        /// The life.
        incarnation: ExecutorIncarnation,
    },
    /// Notes that an executor leaves.
    Leaving {
        /// The executor.
        executor: ExecutorKey,
    },
    /// Removes a life of an executor, which has ended with all that ran there.
    Retire {
        /// The executor.
        executor: ExecutorKey,
        /// Time of day, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Notes a run before it is ordered.
    Start {
        /// The run.
        run: RunId,
        /// Where.
        executor: ExecutorKey,
    },
    /// Notes the end of a run.
    End {
        /// The run.
        run: RunId,
        /// Where.
        executor: ExecutorKey,
        /// How it ended.
        kind: EndKind,
        /// The progress that it saved, if any.
        saved: Option<Arc<str>>,
        /// Time of day, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Takes up a wave of upkeep.
    Wave {
        /// What the operator asked for.
        order: WaveOrder,
        /// Time of day, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Notes that a host's upkeep has begun, or that the host is gone.
    UpkeepBegun {
        /// The wave.
        wave: u64,
        /// The host.
        host: Arc<str>,
    },
    /// Notes what is to be asked of the platform for a host, before it is asked.
    Claim {
        /// The host.
        host: Arc<str>,
        /// What is asked.
        claim: HostClaim,
        /// The executor that ends when it is carried out.
        executor: Option<ExecutorKey>,
    },
    /// Notes that nothing is asked for a host any more.
    Unclaim {
        /// The host.
        host: Arc<str>,
    },
    /// Forgets jobs that ended before a moment.
    Forget {
        /// Time of day, in milliseconds since the Unix epoch.
        before_ms: u64,
    },
}

impl Command {
    /// The name in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Configure { .. } => "configure",
            Self::Submit { .. } => "submit",
            Self::Cancel { .. } => "cancel",
            Self::Enlist { .. } => "enlist",
            Self::Leaving { .. } => "leaving",
            Self::Retire { .. } => "retire",
            Self::Start { .. } => "start",
            Self::End { .. } => "end",
            Self::Wave { .. } => "wave",
            Self::UpkeepBegun { .. } => "tended",
            Self::Claim { .. } => "claim",
            Self::Unclaim { .. } => "unclaim",
            Self::Forget { .. } => "forget",
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the executor's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// The executor ended.
    Gone,
    /// It never ran, and never will.
    NotRun,
}

impl EndKind {
    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Gone => "gone",
            Self::NotRun => "not-run",
        }
    }
}
