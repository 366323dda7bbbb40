//! What is observed from outside of the programs.

use std::collections::BTreeSet;
use std::sync::Arc;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId};
use masticfield_jobs::state::{EndKind, JobStatus};

/// Number of a life of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorNumber(pub u32);

/// The answer to an attempt to hand in a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job is stored.
    Accepted,
    /// The job was not accepted and never runs.
    Refused,
    /// There is no such queue.
    NoQueue,
    /// There is no response, or one that leaves the outcome open.
    Unknown,
}

/// Something that a caller, an executor, an operator or the soak itself observes.
#[derive(Debug, Clone)]
pub enum Observation {
    /// A caller is about to send a job, which it may have sent before.
    SubmitSent {
        /// Identifier of the job.
        job: JobId,
        /// Name of the queue.
        queue: Arc<str>,
        /// Pool of the queue.
        pool: Arc<str>,
        /// The job.
        spec: Arc<JobSpec>,
    },
    /// An attempt to hand in a job has ended.
    SubmitAnswered {
        /// Identifier of the job.
        job: JobId,
        /// Time at which the attempt was sent.
        sent_at: u64,
        /// The answer.
        answer: SubmitAnswer,
    },
    /// A caller is about to cancel a job.
    CancelSent {
        /// Identifier of the job.
        job: JobId,
    },
    /// A cancellation is acknowledged.
    CancelAcknowledged {
        /// Identifier of the job.
        job: JobId,
    },
    /// A caller was shown the status of a job.
    StatusSeen {
        /// Identifier of the job.
        job: JobId,
        /// The status.
        status: JobStatus,
    },
    /// A caller was told that there is no such job.
    StatusGone {
        /// Identifier of the job.
        job: JobId,
        /// Time at which the request was sent.
        sent_at: u64,
    },
    /// An executor has started.
    ExecutorUp {
        /// The executor.
        executor: ExecutorNumber,
        /// Pool of the executor.
        pool: Arc<str>,
        /// Its capacity.
        capacity: Resources,
    },
    /// An executor has ended, with all that ran on it.
    ExecutorGone {
        /// The executor.
        executor: ExecutorNumber,
    },
    /// An executor has begun a run.
    RunStarted {
        /// The executor.
        executor: ExecutorNumber,
        /// The run.
        run: RunId,
        /// Input of the task in the order.
        payload: Arc<str>,
    },
    /// An executor lists the end of a run.
    RunEnded {
        /// The executor.
        executor: ExecutorNumber,
        /// The run.
        run: RunId,
        /// Number of the end.
        number: u64,
        /// How the run ended.
        kind: EndKind,
    },
    /// The lease of an executor has expired.
    LeaseExpired {
        /// The executor.
        executor: ExecutorNumber,
    },
    /// An executor was told to forget the ends up to a number.
    EndsAcknowledged {
        /// The executor.
        executor: ExecutorNumber,
        /// Number of the last of them.
        up_to: u64,
    },
    /// An operator is about to send a configuration.
    ConfigSent {
        /// Its version.
        version: u64,
        /// Whether it is valid.
        valid: bool,
        /// Names of its queues.
        queues: BTreeSet<Arc<str>>,
    },
    /// A configuration is acknowledged.
    ConfigAcknowledged {
        /// Its version.
        version: u64,
    },
    /// A configuration is refused.
    ConfigRefused {
        /// Its version.
        version: u64,
    },
    /// The newest configuration was read.
    ConfigRead {
        /// Its version.
        version: u64,
        /// Time at which the request was sent.
        sent_at: u64,
        /// Whether it is what was sent under this version.
        intact: bool,
    },
    /// A program has ended although nothing was done to it.
    ProgramEnded {
        /// Name of the program.
        name: Arc<str>,
    },
    /// A fault begins, of any kind.
    FaultBegan,
    /// A fault has ended.
    FaultEnded,
    /// All faults are over, and the programs did not recover in time.
    NotRecovered {
        /// What was waited for.
        what: Arc<str>,
    },
    /// The run is over; every job had the time to end.
    RunOver,
}

impl Observation {
    /// The job that the observation is about.
    pub const fn job(&self) -> Option<JobId> {
        match self {
            Self::SubmitSent { job, .. }
            | Self::SubmitAnswered { job, .. }
            | Self::CancelSent { job }
            | Self::CancelAcknowledged { job }
            | Self::StatusSeen { job, .. }
            | Self::StatusGone { job, .. } => Some(*job),
            Self::RunStarted { run, .. } | Self::RunEnded { run, .. } => Some(run.task.job),
            _ => None,
        }
    }
}
