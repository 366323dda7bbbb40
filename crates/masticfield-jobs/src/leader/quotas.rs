//! Quotas of workspaces: what they may start, and which of their jobs are refused.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::executor::RunPhase;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, JobSpec, Resources, TaskId};
use crate::queue::WorkspaceId;
use crate::schedule::Timeliness;
use crate::state::JobRecord;

/// No limit in any resource.
const UNLIMITED: Resources = Resources {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    gpus: u64::MAX,
};

/// Amounts of a resource multiplied by seconds: processor time, memory and accelerators.
pub(super) type ResourceSeconds = [f64; 3];

/// Why a job is refused for the quota of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QuotaRefusal {
    pub(super) reason: &'static str,
    /// Time after which the caller should retry; `None` if waiting does not help.
    pub(super) retry_after: Option<Duration>,
}

/// Statistics of a workspace, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkspaceStats {
    /// Resources of the runs that have not ended.
    pub running: Resources,
    /// Maximum of these resources; 0 for no limit.
    pub quota: Resources,
    /// Number of jobs with tasks that are ready to start.
    pub jobs_waiting: u64,
    /// Number of jobs that were refused for the quota since this leadership began.
    pub jobs_refused: u64,
}

impl Leader {
    /// Returns what a workspace may start in addition to what it has running.
    pub(super) fn quota_room(&self, workspace: Option<WorkspaceId>) -> Resources {
        let quota = workspace.and_then(|id| Some((id, self.state.quota_of(id)?)));
        let Some((id, quota)) = quota else {
            return UNLIMITED;
        };
        let running = match self.options.defect {
            Some(Defect::IgnoreQuota) => return UNLIMITED,
            Some(Defect::CountOnlyAnswered) => self.answered_of(id),
            _ => self.state.running_of(id),
        };
        let room = |quota: u64, running: u64| match quota {
            0 => u64::MAX,
            _ => quota.saturating_sub(running),
        };
        Resources {
            cpu_milli: room(quota.cpu_milli, running.cpu_milli),
            memory_mb: room(quota.memory_mb, running.memory_mb),
            gpus: room(quota.gpus, running.gpus),
        }
    }

    /// Counts only the runs whose orders to start were answered; a fault, for tests.
    fn answered_of(&self, workspace: WorkspaceId) -> Resources {
        let runs = self.executors.values().flat_map(|view| &view.runs);
        let answered = runs.filter(|(_, view)| view.phase != RunPhase::Ordered);
        let needs = answered.filter_map(|(run, view)| {
            let job = self.state.job(run.task.job)?;
            (job.workspace == Some(workspace)).then_some(view.reserved)
        });
        needs.fold(Resources::default(), Resources::saturating_add)
    }

    /// Returns as many of the tasks, all of one step, as the quota allows to start now.
    pub(super) fn within_quota<'a>(&self, tasks: &'a [(TaskId, u32)]) -> &'a [(TaskId, u32)] {
        let Some((_, job, step)) = self.step_of(tasks) else {
            return tasks;
        };
        if job.workspace.is_none() {
            return tasks;
        }
        let (room, need) = (self.quota_room(job.workspace), step.need);
        let times = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        let most = times(room.cpu_milli, need.cpu_milli)
            .min(times(room.memory_mb, need.memory_mb))
            .min(times(room.gpus, need.gpus));
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        &tasks[..most.min(tasks.len())]
    }

    /// Returns whether the quota allows to start a task now.
    pub(super) fn may_start(&self, task: TaskId) -> bool {
        !self.within_quota(&[(task, 0)]).is_empty()
    }

    /// Returns why a new job is refused for its workspace's quota, or `None` if it is not.
    ///
    /// `useful_ms` is the time within which the job must end to be of use; `None` for a job that is
    /// always of use. The work of its workspace that waits in any pool comes before it.
    pub(super) fn quota_refusal(
        &self,
        workspace: WorkspaceId,
        spec: &JobSpec,
        useful_ms: Option<u64>,
    ) -> Option<QuotaRefusal> {
        let quota = amounts(self.state.quota_of(workspace)?);
        let exceeds = |need: Resources, count: u64| {
            let needs = amounts(need).map(|need| need.saturating_mul(count));
            let mut pairs = needs.iter().zip(&quota);
            pairs.any(|(need, quota)| *quota > 0 && need > quota)
        };
        let mut steps = spec.steps.iter();
        // A gang starts as a whole.
        if steps.any(|step| exceeds(step.need, if step.gang { step.count.into() } else { 1 })) {
            return Some(QuotaRefusal {
                reason: "task above the quota",
                retry_after: None,
            });
        }
        let useful = Duration::from_millis(useful_ms?).as_secs_f64();
        let path = Duration::from_millis(spec.critical_path_ms()).as_secs_f64();
        let own = work_of(spec, |step| step.count);
        let waiting = self.waiting_work_of(workspace);
        let held = amounts(self.state.long_running_of(workspace));
        let time = (0..quota.len()).filter(|index| quota[*index] > 0 && own[*index] > 0.0);
        let time = time.map(|index| {
            let rate = quota[index].saturating_sub(held[index]);
            #[expect(clippy::cast_precision_loss, reason = "resources of a workspace")]
            let rate = rate as f64;
            if rate <= 0.0 {
                // Long-running tasks hold the whole quota.
                return f64::INFINITY;
            }
            // The job ends no earlier than its longest chain of steps.
            waiting[index] / rate + (own[index] / rate).max(path)
        });
        let late = time.fold(0.0, f64::max) - useful;
        (late > 0.0).then(|| QuotaRefusal {
            reason: "too much waits for the quota",
            retry_after: Duration::try_from_secs_f64(late).ok(),
        })
    }

    /// Returns the work of a workspace's jobs that waits in all pools.
    fn waiting_work_of(&self, workspace: WorkspaceId) -> ResourceSeconds {
        let jobs = self.pending_of.get(&workspace).into_iter().flatten();
        let jobs = jobs.filter_map(|id| self.pending_jobs.get(id));
        jobs.fold([0.0; 3], |sum, job| add(sum, job.quota_work))
    }

    /// Returns the work that waits in a pool ahead of a new job, in core-seconds.
    ///
    /// Of what waits for the quota of a workspace, only what the quota allows to process within
    /// `horizon` comes before the new job.
    pub(super) fn work_ahead(&self, pool: &Arc<str>, horizon: Duration) -> f64 {
        let pending = self.pending.get(pool).into_iter().flatten();
        let jobs = pending.filter_map(|(_, id)| self.pending_jobs.get(id));
        if !self.state.has_workspaces() {
            return jobs.map(|job| job.work).sum();
        }
        let mut work_of = vec![0.0; self.state.workspaces().count()];
        let mut sum = 0.0;
        for job in jobs {
            let id = job.workspace.map(|workspace| workspace.0 as usize);
            match id.and_then(|id| work_of.get_mut(id)) {
                Some(work) => *work += job.work,
                None => sum += job.work,
            }
        }
        for (work, (_, workspace)) in work_of.into_iter().zip(self.state.workspaces()) {
            let cores = workspace.quota.cores();
            sum += if cores > 0.0 {
                f64::min(work, cores * horizon.as_secs_f64())
            } else {
                work
            };
        }
        sum
    }

    /// Returns the resources that a pool's waiting jobs would use if the pool had more hosts, and
    /// the number of hosts that they need to spread.
    ///
    /// Jobs that wait for their quota do not need hosts, and late ones would not be helped by them.
    pub(super) fn waiting_demand(&self, now: Moment, pool: &Arc<str>) -> (Resources, u32) {
        let pending = self.pending.get(pool).into_iter().flatten();
        let jobs = pending.filter_map(|(_, id)| self.pending_jobs.get(id));
        let on_time = jobs.filter(|job| job.timeliness(now.wall_ms) == Timeliness::OnTime);
        let mut rooms: HashMap<WorkspaceId, Resources> = HashMap::new();
        let (mut demand, mut spread_hosts) = (Resources::default(), 0);
        for job in on_time {
            let mut wanted = job.demand;
            if let Some(workspace) = job.workspace {
                let room = rooms
                    .entry(workspace)
                    .or_insert_with(|| self.quota_room(job.workspace));
                if !room.covers(job.least_need) {
                    continue;
                }
                wanted = wanted.least(*room);
                *room = room.saturating_sub(wanted);
            }
            demand = demand.saturating_add(wanted);
            spread_hosts = spread_hosts.max(job.spread_hosts);
        }
        (demand, spread_hosts)
    }

    /// Returns whether a new job can start tasks within the quota now, so that it adds to the load.
    pub(super) fn adds_load(&self, workspace: Option<WorkspaceId>, spec: &JobSpec) -> bool {
        let room = self.quota_room(workspace);
        spec.steps.iter().any(|step| room.covers(step.need))
    }

    /// Returns the statistics of the workspaces of the configuration in force and of those that
    /// still have runs or waiting jobs, by name.
    pub fn workspace_stats(&self) -> BTreeMap<Arc<str>, WorkspaceStats> {
        let mut waiting: HashMap<WorkspaceId, u64> = HashMap::new();
        let workspaces = self.pending_jobs.values().filter_map(|job| job.workspace);
        for workspace in workspaces {
            *waiting.entry(workspace).or_default() += 1;
        }
        let in_force = |name: &Arc<str>| {
            let config = self.state.config();
            let workspaces = config.and_then(|stored| stored.config.workspaces.as_ref());
            workspaces.is_some_and(|all| all.iter().any(|workspace| workspace.name == *name))
        };
        let stats = self.state.workspaces().filter_map(|(id, workspace)| {
            let stats = WorkspaceStats {
                running: self.state.running_of(id),
                quota: self.state.quota_of(id).unwrap_or_default(),
                jobs_waiting: waiting.get(&id).copied().unwrap_or_default(),
                jobs_refused: self.quota_refusals.get(&id).copied().unwrap_or_default(),
            };
            let active = stats.running != Resources::default() || stats.jobs_waiting > 0;
            (active || in_force(&workspace.name)).then(|| (Arc::clone(&workspace.name), stats))
        });
        stats.collect()
    }

    /// Keeps the waiting jobs of each workspace after one of its jobs has changed.
    pub(super) fn index_pending(&mut self, id: JobId, workspace: Option<WorkspaceId>) {
        if let Some(workspace) = workspace {
            let jobs = self.pending_of.entry(workspace).or_default();
            if self.pending_jobs.contains_key(&id) {
                jobs.insert(id);
            } else {
                jobs.remove(&id);
            }
        }
    }

    /// Logs each job once when it waits because of its workspace's quota.
    pub(super) fn note_quota_waits(&mut self) {
        if !self.state.has_workspaces() {
            return;
        }
        let waits = self.pending_of.values().flatten().copied().filter(|id| {
            let job = self.pending_jobs.get(id);
            job.is_some_and(|job| !self.quota_room(job.workspace).covers(job.least_need))
                && !self.quota_waits.contains(id)
        });
        let waits: Vec<_> = waits.collect();
        for id in waits {
            self.quota_waits.insert(id);
            self.log_quota_wait(id);
        }
    }

    fn log_quota_wait(&self, id: JobId) {
        let workspace = self.state.job(id).and_then(|job| job.workspace);
        let known = workspace.and_then(|id| Some((id, self.state.workspace(id)?)));
        if let Some((workspace, config)) = known {
            let running = self.state.running_of(workspace);
            log::info!(
                job:% = id, workspace = config.name.as_ref(), cpu_milli = running.cpu_milli,
                quota_cpu_milli = config.quota.cpu_milli, memory_mb = running.memory_mb,
                quota_memory_mb = config.quota.memory_mb, gpus = running.gpus,
                quota_gpus = config.quota.gpus;
                "job waits for its quota"
            );
        }
    }
}

/// Returns the work of a job's waiting tasks that counts against a quota; none without a workspace
/// or for a long-running job.
pub(super) fn quota_work(job: &JobRecord, spec: &JobSpec) -> ResourceSeconds {
    if job.workspace.is_none() || spec.is_long_running() {
        return [0.0; 3];
    }
    let occurrences = job.occurrences.iter().map(|occurrence| {
        let mut records = occurrence.steps.iter();
        work_of(spec, |_| {
            let waiting = records.next().map_or(0, |record| record.waiting().count());
            u32::try_from(waiting).unwrap_or(u32::MAX)
        })
    });
    occurrences.fold([0.0; 3], add)
}

/// Returns the estimated work of the steps of a job; `tasks` gives the number of tasks of each.
fn work_of(spec: &JobSpec, mut tasks: impl FnMut(&crate::job::StepSpec) -> u32) -> ResourceSeconds {
    let steps = spec.steps.iter().map(|step| {
        let seconds =
            Duration::from_millis(step.estimate_ms).as_secs_f64() * f64::from(tasks(step));
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        amounts(step.need).map(|amount| amount as f64 * seconds)
    });
    steps.fold([0.0; 3], add)
}

fn add(sum: ResourceSeconds, other: ResourceSeconds) -> ResourceSeconds {
    std::array::from_fn(|index| sum[index] + other[index])
}

const fn amounts(resources: Resources) -> [u64; 3] {
    [resources.cpu_milli, resources.memory_mb, resources.gpus]
}
