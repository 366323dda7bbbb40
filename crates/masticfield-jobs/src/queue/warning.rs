//! Entries of a configuration that have no effect, and limits that contradict each other.

use std::collections::BTreeSet;
use std::sync::Arc;

use snafu::Snafu;

use super::QueuesConfig;

/// Part of a valid configuration that hardly does what was intended.
///
/// A queue is hidden only by one with the same authority and prefix, which is a
/// [problem](super::InvalidConfig): otherwise the longest prefix wins.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigWarning {
    /// Jobs of the queue never run, as the hosts of its pool are switched off.
    #[snafu(display("queue {queue} names pool {pool}, whose hosts are switched off"))]
    StandbyPool {
        /// Name of the queue.
        queue: Arc<str>,
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// A caller is answered before the job may be late.
    #[snafu(display("queue {queue} has a time-out below its objective"))]
    TimeoutBelowObjective {
        /// Name of the queue.
        queue: Arc<str>,
    },
    /// No decision of the advice service is ever valid.
    #[snafu(display("queue {queue} has advice that is valid for no time"))]
    AdviceNeverValid {
        /// Name of the queue.
        queue: Arc<str>,
    },
    /// No queue names the pool, and it is not on standby.
    #[snafu(display("pool {pool} has no queue"))]
    UnusedPool {
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// No caller can present a key of the workspace.
    #[snafu(display("workspace {workspace} has no keys"))]
    NoKeys {
        /// Name of the workspace.
        workspace: Arc<str>,
    },
    /// Every caller of the queue is refused, as it needs a key and no workspace has one.
    #[snafu(display("queue {queue} needs a key, and no workspace has one"))]
    NoCallers {
        /// Name of the queue.
        queue: Arc<str>,
    },
}

impl QueuesConfig {
    /// Returns the entries that have no effect, and the limits that contradict each other.
    pub fn warnings(&self) -> Vec<ConfigWarning> {
        let mut warnings = Vec::new();
        self.find_queue_warnings(&mut warnings);
        let used: BTreeSet<_> = self.queues.iter().map(|queue| &queue.pool).collect();
        let pools = self.pools.iter();
        let unused = pools.filter(|pool| !pool.standby && !used.contains(&pool.name));
        warnings.extend(unused.map(|pool| ConfigWarning::UnusedPool {
            pool: Arc::clone(&pool.name),
        }));
        let workspaces = self.workspaces.iter().flatten();
        let without_keys = workspaces.filter(|workspace| workspace.keys.is_empty());
        warnings.extend(without_keys.map(|workspace| ConfigWarning::NoKeys {
            workspace: Arc::clone(&workspace.name),
        }));
        warnings
    }

    fn find_queue_warnings(&self, warnings: &mut Vec<ConfigWarning>) {
        let pools = self.pools.iter().filter(|pool| pool.standby);
        let standby: BTreeSet<_> = pools.map(|pool| &pool.name).collect();
        let workspaces = self.workspaces.as_ref();
        let has_no_keys = workspaces.is_some_and(|all| all.iter().all(|w| w.keys.is_empty()));
        for config in &self.queues {
            let queue = || Arc::clone(&config.name);
            if standby.contains(&config.pool) {
                let pool = Arc::clone(&config.pool);
                let queue = queue();
                warnings.push(ConfigWarning::StandbyPool { queue, pool });
            }
            if config.timeout_ms < config.target_ms {
                warnings.push(ConfigWarning::TimeoutBelowObjective { queue: queue() });
            }
            if config.advice.is_some_and(|advice| advice.validity_ms == 0) {
                warnings.push(ConfigWarning::AdviceNeverValid { queue: queue() });
            }
            if has_no_keys && !config.public {
                warnings.push(ConfigWarning::NoCallers { queue: queue() });
            }
        }
    }
}
