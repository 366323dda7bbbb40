//! The configuration of queues and pools.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

use super::RequestLimits;

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuesConfig {
    /// The highest version is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueConfig>,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// Bounds of what callers send, if any are given.
    pub limits: Option<RequestLimits>,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Name.
    pub name: Arc<str>,
    /// Authority that requests name.
    pub authority: Arc<str>,
    /// Prefix of the path of requests.
    pub prefix: Arc<str>,
    /// Pool whose executors run the tasks.
    pub pool: Arc<str>,
    /// Longest time for an answer to a request, in milliseconds.
    pub timeout_ms: u64,
    /// Time that a job may take beyond its work, in milliseconds.
    pub target_ms: u64,
    /// Rank among the queues of a pool; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// Factor on the estimated work within which a job is on time.
    pub stretch: f64,
    /// Periods of the service that names eligible executors, if the queue has one.
    pub advice: Option<AdviceConfig>,
}

/// Periods of the service that names the executors that a step may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Time for each decision, in milliseconds.
    pub decision_ms: u64,
    /// Further time for each executor asked about, in milliseconds.
    pub period_ms: u64,
    /// Time for which an answer is valid, in milliseconds.
    pub validity_ms: u64,
}

/// A pool of executors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolConfig {
    /// Name.
    pub name: Arc<str>,
    /// Connections that an executor accepts.
    pub max_connections: u32,
    /// Whether executors reject what does not fit.
    pub rejects_overload: bool,
    /// Whether hosts of the pool are switched off.
    pub standby: bool,
}

/// Why a configuration cannot be in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum InvalidConfig {
    /// A queue names a pool that is not there.
    #[snafu(display("queue {queue} names the unknown pool {pool}"))]
    UnknownPool {
        /// Name of the queue.
        queue: Arc<str>,
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// Two queues have the same authority and prefix.
    #[snafu(display("queue {queue} has the authority and prefix of another"))]
    DuplicateRoute {
        /// Name of the second queue.
        queue: Arc<str>,
    },
    /// A queue gives requests no time.
    #[snafu(display("queue {queue} has a time-out of 0"))]
    ZeroTimeout {
        /// Name of the queue.
        queue: Arc<str>,
    },
    /// Two queues or pools have the same name.
    #[snafu(display("the name {name} is used twice"))]
    DuplicateName {
        /// The name.
        name: Arc<str>,
    },
}

impl QueuesConfig {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// Fails on the first mistake.
    pub fn check(&self) -> Result<(), InvalidConfig> {
        let mut pools = BTreeSet::new();
        for pool in &self.pools {
            ensure!(
                pools.insert(&pool.name),
                DuplicateNameSnafu {
                    name: Arc::clone(&pool.name)
                }
            );
        }
        let mut places = BTreeSet::new();
        let mut names = BTreeSet::new();
        for queue in &self.queues {
            let name = || Arc::clone(&queue.name);
            pools.get(&queue.pool).context(UnknownPoolSnafu {
                queue: name(),
                pool: Arc::clone(&queue.pool),
            })?;
            let place = (&queue.authority, &queue.prefix);
            ensure!(places.insert(place), DuplicateRouteSnafu { queue: name() });
            ensure!(
                names.insert(&queue.name),
                DuplicateNameSnafu { name: name() }
            );
            ensure!(queue.timeout_ms > 0, ZeroTimeoutSnafu { queue: name() });
        }
        Ok(())
    }
}
