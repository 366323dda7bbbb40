//! Jobs with tasks that are ready to start.

use std::sync::Arc;

use super::quotas::{ResourceSeconds, quota_work};
use crate::job::{JobSpec, Resources};
use crate::queue::{QueueConfig, WorkspaceId};
use crate::schedule::{Rank, Timeliness, on_time_ms, rank, residual_demand, timeliness};
use crate::state::{JobRecord, OccurrenceRecord};

/// What planning needs to know of a job with tasks that are ready to start.
///
/// Derived from the job each time the job changes, as planning looks at every waiting job several
/// hundred times a second.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PendingJob {
    pub(super) pool: Arc<str>,
    pub(super) rank: Rank,
    /// For each resource, the least that one of the ready tasks needs.
    pub(super) least_need: Resources,
    /// Resources that ready tasks will still be waiting for when a requested host arrives.
    pub(super) demand: Resources,
    /// Minimum number of hosts to satisfy the ready steps' limits of tasks per executor.
    pub(super) spread_hosts: u32,
    /// Work of the waiting tasks, in core-seconds; 0 for a long-running job.
    pub(super) work: f64,
    pub(super) workspace: Option<WorkspaceId>,
    /// Work of the waiting tasks that counts against the quota of the workspace.
    pub(super) quota_work: ResourceSeconds,
    accepted_ms: u64,
    /// Time from the acceptance within which the job is on time; `None` for one that never is late.
    on_time_ms: Option<u64>,
    /// Estimated time of the longest chain of steps that are not done, in milliseconds.
    remaining_ms: u64,
}

impl PendingJob {
    /// Derives the entry of a job from the occurrences that are due; `None` if none of their tasks
    /// is ready to start.
    pub(super) fn new(
        job: &JobRecord,
        spec: &JobSpec,
        queue: &QueueConfig,
        due_occurrences: usize,
    ) -> Option<Self> {
        let mut least_need: Option<Resources> = None;
        let (mut demand, mut spread_hosts) = (Resources::default(), 0);
        for occurrence in job.occurrences.iter().take(due_occurrences) {
            for (step, record) in spec.steps.iter().zip(&occurrence.steps) {
                if record.remaining == 0 || !occurrence.is_ready(step) {
                    continue;
                }
                let waiting = record.waiting().count();
                if waiting == 0 {
                    continue;
                }
                let need = step.reserved();
                least_need = Some(least_need.map_or(need, |least| least.least(need)));
                let share = if step.long_running {
                    1.0
                } else {
                    residual_demand(step.estimate_ms)
                };
                #[expect(clippy::cast_precision_loss, reason = "tasks of a step")]
                let waiting = waiting as f64;
                demand = demand.saturating_add(need.scaled(waiting * share));
                if let Some(most) = step.max_per_executor {
                    spread_hosts = spread_hosts.max(step.count.div_ceil(most.max(1)));
                }
            }
        }
        let never_late = spec.is_long_running() || spec.timetable.is_some();
        let remaining = job
            .occurrences
            .iter()
            .map(|occurrence| remaining_path_ms(spec, occurrence));
        Some(Self {
            pool: Arc::clone(&queue.pool),
            rank: rank(spec, queue, job.accepted_ms),
            least_need: least_need?,
            demand,
            spread_hosts,
            work: waiting_work(job, spec),
            workspace: job.workspace,
            quota_work: quota_work(job, spec),
            accepted_ms: job.accepted_ms,
            on_time_ms: (!never_late).then(|| on_time_ms(spec, queue)),
            remaining_ms: remaining.max().unwrap_or_default(),
        })
    }

    /// Returns whether the job can still be on time if its remaining tasks start now.
    pub(super) fn timeliness(&self, wall_ms: u64) -> Timeliness {
        let Some(on_time_ms) = self.on_time_ms else {
            return Timeliness::OnTime;
        };
        let waited_ms = wall_ms.saturating_sub(self.accepted_ms);
        timeliness(on_time_ms, waited_ms, self.remaining_ms)
    }
}

/// Returns the estimated work of a job's waiting tasks, in core-seconds; 0 for a long-running job.
fn waiting_work(job: &JobRecord, spec: &JobSpec) -> f64 {
    if spec.is_long_running() {
        return 0.0;
    }
    let steps = job
        .occurrences
        .iter()
        .flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps));
    steps
        .map(|(step, record)| {
            let waiting = u32::try_from(record.waiting().count()).unwrap_or(u32::MAX);
            let time = std::time::Duration::from_millis(step.estimate_ms).as_secs_f64();
            f64::from(waiting) * time * step.need.cores()
        })
        .sum()
}

/// Returns the estimated time of the longest chain of steps that are not done, in milliseconds.
///
/// A step counts half once none of its tasks waits to start.
pub(super) fn remaining_path_ms(spec: &JobSpec, occurrence: &OccurrenceRecord) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (step, record) in spec.steps.iter().zip(&occurrence.steps) {
        let dependencies = step.depends_on.iter();
        let starts = dependencies.filter_map(|dependency| ends.get(usize::from(*dependency)));
        let time = match (record.remaining, record.waiting().next()) {
            (0, _) => 0,
            (_, Some(_)) => step.estimate_ms,
            (_, None) => step.estimate_ms / 2,
        };
        let start = starts.max().copied().unwrap_or_default();
        ends.push(start.saturating_add(time));
    }
    ends.into_iter().max().unwrap_or_default()
}
