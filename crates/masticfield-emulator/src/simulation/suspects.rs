//! Waits of suspected tasks that are not at fault.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_jobs::job::{Resources, TaskId};
use masticfield_jobs::state::JobPhase;

use super::Simulation;

/// How long suspected tasks of jobs without fault have waited for their next start.
#[derive(Debug, Default)]
pub(super) struct SuspectWaits {
    /// Time for which each one has been ready to start while an executor of its pool had room for
    /// it, in milliseconds.
    waiting: BTreeMap<TaskId, u64>,
    /// Longest wait, as a multiple of the job's objective.
    pub(super) longest: f64,
    /// Sum of the numbers of waiting tasks over all checks, and number of checks.
    total: (u64, u64),
}

impl SuspectWaits {
    /// Returns the mean number of waiting tasks.
    #[expect(clippy::cast_precision_loss, reason = "numbers of tasks")]
    pub(super) fn mean(&self) -> f64 {
        self.total.0 as f64 / self.total.1.max(1) as f64
    }
}

impl Simulation {
    /// Adds `elapsed` milliseconds to the waits of suspected tasks that could have been started.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a job")]
    pub(super) fn record_suspects(&mut self, elapsed: u64) {
        let mut waiting = BTreeMap::new();
        let jobs = self
            .state
            .jobs()
            .filter(|(id, job)| job.phase == JobPhase::Open && self.state.has_suspects(*id));
        for (id, job) in jobs {
            let Some(submitted) = self.checker.jobs.get(&id) else {
                continue;
            };
            let Some(queue) = self.state.queue(job.queue) else {
                continue;
            };
            if submitted.crashing_task.is_some() || submitted.spec.is_long_running() {
                continue;
            }
            let occurrences = (0..).zip(&job.occurrences);
            for (number, occurrence) in occurrences {
                let steps = (0..).zip(submitted.spec.steps.iter().zip(&occurrence.steps));
                let ready = steps.filter(|(_, (step, _))| occurrence.is_ready(step));
                for (step, (spec, record)) in ready {
                    let up = u64::from(self.has_executor_for(&queue.pool, spec.reserved()));
                    let tasks = record
                        .waiting()
                        .map(|(index, _)| TaskId::new(id, number, step, index));
                    for task in tasks.filter(|task| self.state.is_suspected(*task)) {
                        let before = self.suspect_waits.waiting.get(&task);
                        let wait = before.copied().unwrap_or_default() + elapsed * up;
                        let relative = wait as f64 / submitted.objective_ms.max(1) as f64;
                        self.suspect_waits.longest = self.suspect_waits.longest.max(relative);
                        waiting.insert(task, wait);
                    }
                }
            }
        }
        let (sum, checks) = &mut self.suspect_waits.total;
        (*sum, *checks) = (*sum + waiting.len() as u64, *checks + 1);
        self.suspect_waits.waiting = waiting;
    }

    /// Returns whether any executor of a pool is up, not partitioned, and has room for a task once
    /// its finite tasks have ended.
    fn has_executor_for(&self, pool: &Arc<str>, need: Resources) -> bool {
        let hosts = self.hosts.iter().filter(|host| host.pool == *pool);
        let mut executors = hosts.filter_map(|host| self.executors.get(host.executor?));
        executors.any(|executor| {
            let free = executor.incarnation.capacity;
            let free = free.saturating_sub(executor.used_by_long_running());
            executor.up && executor.partitioned_until <= self.now && free.covers(need)
        })
    }
}
