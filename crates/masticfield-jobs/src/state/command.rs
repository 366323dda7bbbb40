//! Commands that change the replicated state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ConfigAccess, CrashedRun, ExecutorIncarnation, ExecutorKey, HostClaim, WaveOrder};
use crate::job::{JobId, JobSpec, Resources, RunId, TaskId};
use crate::queue::{ConfigContent, QueueId, QueuesConfig, WorkspaceId};

/// A change of the replicated state.
///
/// Each command is applied by [`State::apply`](super::State::apply). Fields named `at_ms` are the
/// leader's wall-clock time of the change, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is the highest so far.
    Configure {
        /// The decoded configuration.
        config: QueuesConfig,
        /// The configuration as the operator sent it.
        content: ConfigContent,
    },
    /// Adds a job unless one with the same identifier exists.
    Submit {
        /// Identifier that the caller chose.
        job: JobId,
        /// Queue that the job was submitted to.
        queue: QueueId,
        /// The job as submitted.
        spec: JobSpec,
        /// Time of the submission.
        at_ms: u64,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Job to cancel.
        job: JobId,
        /// Time of the cancellation.
        at_ms: u64,
    },
    /// Adds an incarnation of an executor.
    Enlist {
        /// Key of the incarnation; higher than every earlier key.
        executor: ExecutorKey,
        /// What the executor announced.
        incarnation: ExecutorIncarnation,
    },
    /// Records that an executor is leaving.
    Leaving {
        /// Executor that is leaving.
        executor: ExecutorKey,
    },
    /// Removes an incarnation of an executor that has ended, and ends all its runs.
    Retire {
        /// Executor to remove.
        executor: ExecutorKey,
        /// Time of the removal.
        at_ms: u64,
    },
    /// Records a run. Committed before the order to start it is sent.
    Start {
        /// Run to start; its number is higher than that of every earlier run of the task.
        run: RunId,
        /// Executor that runs the task.
        executor: ExecutorKey,
    },
    /// Records the end of a run.
    End {
        /// Run that has ended.
        run: RunId,
        /// Executor that ran the task.
        executor: ExecutorKey,
        /// How the run ended.
        kind: EndKind,
        /// Progress that the run saved, if any.
        saved: Option<Arc<str>>,
        /// Time at which the leader learned of the end.
        at_ms: u64,
    },
    /// Adds a wave of upkeep unless one with the same number exists.
    Wave {
        /// The operator's request.
        order: WaveOrder,
        /// Time of the request.
        at_ms: u64,
    },
    /// Records that a host needs no more attention in a wave: its upkeep has begun, or the platform
    /// no longer has it in the wave.
    UpkeepBegun {
        /// Number of the wave.
        wave: u64,
        /// Name of the host.
        host: Arc<str>,
    },
    /// Records a request to the platform about a host. Committed before the request is sent.
    Claim {
        /// Name of the host.
        host: Arc<str>,
        /// Operation that is requested.
        claim: HostClaim,
        /// Executor on the host, which ends when the operation begins.
        executor: Option<ExecutorKey>,
    },
    /// Records that no request about a host is outstanding any more.
    Unclaim {
        /// Name of the host.
        host: Arc<str>,
    },
    /// Removes jobs that ended before a time and have no runs.
    Forget {
        /// End of the range, in milliseconds since the Unix epoch; exclusive.
        before_ms: u64,
    },
    /// Counts the crash of an executor as earlier versions did, which gave up jobs after any two
    /// crashes right after a start, or any five; read from their logs only.
    Crash {
        /// Runs that the executor had.
        runs: Vec<CrashedRun>,
        /// Time at which the leader learned of the crash.
        at_ms: u64,
    },
    /// Records that the capacity of an executor has changed.
    Resize {
        /// Executor that has announced it.
        executor: ExecutorKey,
        /// Total resources for tasks from now on.
        capacity: Resources,
    },
    /// Records whether announcements of an executor are overdue, so that its capacity may have
    /// changed.
    Overdue {
        /// Executor whose announcements are concerned.
        executor: ExecutorKey,
        /// Whether they are overdue, or have come again.
        overdue: bool,
    },
    /// Records that an executor has outlived the start of a task that may have crashed others.
    Survived {
        /// Task that was started.
        task: TaskId,
    },
    /// Records that time has passed on the leader's monotonic clock, to date the claims of hosts.
    Elapsed {
        /// Time since the leader's last such command, or since its leadership began.
        ms: u64,
    },
    /// [`Configure`](Self::Configure) for a configuration with workspaces or public queues.
    ConfigureAccess {
        /// The decoded configuration, without what `access` has.
        config: QueuesConfig,
        /// The configuration as the operator sent it.
        content: ConfigContent,
        /// Workspaces and public queues.
        access: ConfigAccess,
    },
    /// [`Submit`](Self::Submit) for a job of a workspace.
    SubmitFor {
        /// Workspace that the job belongs to.
        workspace: WorkspaceId,
        /// Identifier that the caller chose.
        job: JobId,
        /// Queue that the job was submitted to.
        queue: QueueId,
        /// The job as submitted.
        spec: JobSpec,
        /// Time of the submission.
        at_ms: u64,
    },
    /// Records that a run may be on another incarnation of its executor than the one that it was
    /// placed on, which may have carried out the order to start it.
    Reassign {
        /// Run concerned.
        run: RunId,
        /// Incarnation that the run was placed on.
        from: ExecutorKey,
        /// Incarnation that may have the run.
        to: ExecutorKey,
    },
    /// Records that runs are on the incarnation that they were placed on, and that no order to start
    /// them may still be carried out.
    Located {
        /// The incarnation, which has listed the runs.
        executor: ExecutorKey,
        /// Runs concerned.
        runs: Vec<RunId>,
    },
    /// Records whether an executor may hold a lease that was not granted by calls for this incarnation,
    /// and so lasts up to the longest that executors grant.
    FormerLeases {
        /// Executor concerned.
        executor: ExecutorKey,
        /// Whether there may be such a lease.
        possible: bool,
    },
    /// Records that an executor has begun a task of a job, the first one to do so.
    Begun {
        /// Job of the task.
        job: JobId,
    },
    /// Records that an incarnation of an executor is removed, so that a late announcement of it is not
    /// taken to show that it runs.
    Removed {
        /// Identifier of the executor.
        id: Arc<str>,
        /// Start time of the incarnation; see [`ExecutorIncarnation::started_ms`].
        started_ms: u64,
    },
    /// Removes the records of incarnations that were removed long ago.
    ForgetRemoved {
        /// Identifiers of their executors.
        ids: Vec<Arc<str>>,
    },
    /// Counts the crash of an executor against the tasks that it ran, and gives up jobs with a task
    /// under which five have crashed, the last four when it was suspected. Precedes the removal of
    /// the executor.
    ExecutorCrash {
        /// Runs that the executor had.
        runs: Vec<CrashedRun>,
        /// Time at which the leader learned of the crash.
        at_ms: u64,
    },
}

impl Command {
    /// Creates the command that puts a configuration in force.
    pub fn configure(mut config: QueuesConfig, content: ConfigContent) -> Self {
        match ConfigAccess::take(&mut config) {
            None => Self::Configure { config, content },
            Some(access) => Self::ConfigureAccess {
                config,
                content,
                access,
            },
        }
    }

    /// Creates the command that adds a job, which may belong to a workspace.
    pub const fn submit(
        workspace: Option<WorkspaceId>,
        job: JobId,
        queue: QueueId,
        spec: JobSpec,
        at_ms: u64,
    ) -> Self {
        match workspace {
            None => Self::Submit {
                job,
                queue,
                spec,
                at_ms,
            },
            Some(workspace) => Self::SubmitFor {
                workspace,
                job,
                queue,
                spec,
                at_ms,
            },
        }
    }

    /// Returns the name used in logs.
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
            Self::Crash { .. } | Self::ExecutorCrash { .. } => "crash",
            Self::Resize { .. } => "resize",
            Self::Overdue { .. } => "overdue",
            Self::Survived { .. } => "survived",
            Self::Elapsed { .. } => "elapsed",
            Self::ConfigureAccess { .. } => "configure-access",
            Self::SubmitFor { .. } => "submit-for",
            Self::Reassign { .. } => "reassign",
            Self::Begun { .. } => "begun",
            Self::Located { .. } => "located",
            Self::FormerLeases { .. } => "former-leases",
            Self::Removed { .. } => "removed",
            Self::ForgetRemoved { .. } => "forget-removed",
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, through its own fault or the executor's; counts as an attempt.
    Failed,
    /// The executor stopped the run as ordered.
    Stopped,
    /// The lease of the executor expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The run is no longer on the executor, or the executor has ended.
    Gone,
    /// The run was never started and never will be.
    NotRun,
    /// [`Failed`](Self::Failed) for a member of a gang that is not long-running: each failed run of
    /// the gang counts as one attempt. Logs of earlier versions have `Failed` for members as well,
    /// which counts each time.
    MemberFailed,
}

impl EndKind {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed | Self::MemberFailed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Gone => "gone",
            Self::NotRun => "not-run",
        }
    }
}
