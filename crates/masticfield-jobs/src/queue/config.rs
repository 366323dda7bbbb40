//! Configuration of queues and pools.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::workspace::find_workspace_problems;
use super::{RequestLimits, WorkspaceConfig};

/// The complete configuration; a new version replaces the earlier one as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuesConfig {
    /// Version number; the highest version is in force.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueueConfig>,
    /// All pools.
    pub pools: Vec<PoolConfig>,
    /// Limits of callers' requests; `None` leaves the entries' defaults.
    pub limits: Option<RequestLimits>,
    /// All workspaces; `None` if requests need no key. Encoded apart from the rest, so that logs
    /// without workspaces remain readable; see [`ConfigAccess`](crate::state::ConfigAccess).
    #[serde(skip)]
    pub workspaces: Option<Vec<WorkspaceConfig>>,
}

/// Configuration of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Name, unique among the queues.
    pub name: Arc<str>,
    /// Authority of the requests for this queue.
    pub authority: Arc<str>,
    /// Path prefix of the requests for this queue.
    pub prefix: Arc<str>,
    /// Name of the pool whose executors run the tasks.
    pub pool: Arc<str>,
    /// Maximum time to answer a request, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Time that a job may take beyond its stretched critical path and still be on time, in
    /// milliseconds.
    pub target_ms: u64,
    /// Priority among the queues of the pool; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a task, or of all tasks of a gang together, after which the job
    /// fails; 0 counts as 1, and [`NO_ATTEMPT_LIMIT`](Self::NO_ATTEMPT_LIMIT) sets none. Long-running
    /// tasks have no limit.
    pub max_attempts: u32,
    /// Factor on a job's estimated critical path within which the job is on time; below 1 counts
    /// as 1.
    pub stretch: f64,
    /// Set if an advice service selects the executors of this queue's steps.
    pub advice: Option<AdviceConfig>,
    /// Whether requests need no key. Encoded apart from the rest, like the workspaces.
    #[serde(skip)]
    pub public: bool,
}

impl QueueConfig {
    /// Value of [`max_attempts`](Self::max_attempts) for a queue that sets no limit.
    pub const NO_ATTEMPT_LIMIT: u32 = u32::MAX;
}

/// Timing of the advice service, which selects the executors that a step may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Base time of a decision, in milliseconds.
    pub decision_ms: u64,
    /// Additional time for each executor in the query, in milliseconds.
    pub period_ms: u64,
    /// Time for which a decision is valid, in milliseconds.
    pub validity_ms: u64,
}

/// Configuration of a pool of executors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Name, unique among the pools.
    pub name: Arc<str>,
    /// Maximum number of connections that an executor accepts.
    pub max_connections: u32,
    /// Whether executors reject tasks that exceed their free capacity.
    pub rejects_overload: bool,
    /// Whether hosts in the pool are switched off; they run no tasks until they are moved.
    pub standby: bool,
}

/// Error of [`QueuesConfig::check`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum InvalidConfig {
    /// A queue refers to a pool that is not configured.
    #[snafu(display("queue {queue} names the unknown pool {pool}"))]
    UnknownPool {
        /// Name of the queue.
        queue: Arc<str>,
        /// Name of the missing pool.
        pool: Arc<str>,
    },
    /// Two queues have the same authority and path prefix.
    #[snafu(display("queue {queue} has the authority and prefix of another"))]
    DuplicateRoute {
        /// Name of the second queue.
        queue: Arc<str>,
    },
    /// A queue has a time-out of 0.
    #[snafu(display("queue {queue} has a time-out of 0"))]
    ZeroTimeout {
        /// Name of the queue.
        queue: Arc<str>,
    },
    /// Two queues or pools have the same name.
    #[snafu(display("the name {name} is used twice"))]
    DuplicateName {
        /// Name that is used twice.
        name: Arc<str>,
    },
    /// A workspace has no name.
    #[snafu(display("the name of workspace {index} is empty"))]
    EmptyWorkspaceName {
        /// Zero-based position of the workspace.
        index: usize,
    },
    /// Two workspaces have the same name.
    #[snafu(display("the name {name} is used by two workspaces"))]
    DuplicateWorkspace {
        /// Name that is used twice.
        name: Arc<str>,
    },
    /// The weight of a workspace is negative or not a number.
    #[snafu(display("workspace {workspace} has an invalid weight"))]
    InvalidWeight {
        /// Name of the workspace.
        workspace: Arc<str>,
    },
    /// A key belongs to two workspaces, or twice to one.
    #[snafu(display("a key of workspace {workspace} is also a key of workspace {other}"))]
    DuplicateKey {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Name of the workspace that has the key already.
        other: Arc<str>,
    },
}

impl QueuesConfig {
    /// Checks the rules that span several queues, pools or workspaces.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), InvalidConfig> {
        self.problems().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns every problem for which [`check`](Self::check) refuses the configuration.
    pub fn problems(&self) -> Vec<InvalidConfig> {
        let mut problems = Vec::new();
        let mut pools = BTreeSet::new();
        for pool in &self.pools {
            if !pools.insert(&pool.name) {
                let name = Arc::clone(&pool.name);
                problems.push(InvalidConfig::DuplicateName { name });
            }
        }
        let mut routes = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            let name = || Arc::clone(&queue.name);
            if !pools.contains(&queue.pool) {
                let pool = Arc::clone(&queue.pool);
                let queue = name();
                problems.push(InvalidConfig::UnknownPool { queue, pool });
            }
            if !routes.insert((&queue.authority, &queue.prefix)) {
                problems.push(InvalidConfig::DuplicateRoute { queue: name() });
            }
            if !names.insert(&queue.name) {
                problems.push(InvalidConfig::DuplicateName { name: name() });
            }
            if queue.timeout_ms == 0 {
                problems.push(InvalidConfig::ZeroTimeout { queue: name() });
            }
        }
        let workspaces = self.workspaces.as_deref().unwrap_or_default();
        find_workspace_problems(workspaces, &mut problems);
        problems
    }
}
