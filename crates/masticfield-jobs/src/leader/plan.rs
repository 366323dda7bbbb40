//! Planning: which tasks start next, and the backlog that they form.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::executor::Suspicion;
use super::pending_job::{PendingJob, remaining_path_ms};
use super::pool_view::PoolView;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, Resources, RunId, TaskId};
use crate::schedule::{Backlog, JobOrder, Timeliness, on_time_ms};
use crate::state::{ExecutorKey, JobPhase};

/// A task that is ready to start, and the number of its latest run.
type StartableTask = (TaskId, u32);

impl Leader {
    /// Updates whether and where a job is in the pending jobs of its pool.
    pub(super) fn update_pending(&mut self, now: Moment, id: JobId) {
        let entry = self.pending_job(now, id);
        let previous = self.pending_jobs.remove(&id);
        let workspace = entry.as_ref().or(previous.as_ref());
        let workspace = workspace.and_then(|job| job.workspace);
        let key = |job: &PendingJob| (Arc::clone(&job.pool), job.rank);
        if previous.as_ref().map(key) != entry.as_ref().map(key) {
            if let Some(job) = previous
                && let Some(pending) = self.pending.get_mut(&job.pool)
            {
                pending.remove(&(job.rank, id));
            }
            if let Some(job) = &entry {
                let pending = self.pending.entry(Arc::clone(&job.pool)).or_default();
                pending.insert((job.rank, id));
                self.changed_pools.insert(Arc::clone(&job.pool));
            }
        }
        if let Some(job) = entry {
            self.pending_jobs.insert(id, job);
        }
        self.index_pending(id, workspace);
    }

    /// Returns what planning needs to know of a job, or `None` if no task of it is ready to start.
    fn pending_job(&mut self, now: Moment, id: JobId) -> Option<PendingJob> {
        let job = self.state.job(id)?;
        let spec = job.spec.as_ref().filter(|_| job.phase == JobPhase::Open)?;
        let queue = self.state.queue(job.queue)?;
        let due = (0..).zip(&job.occurrences).map_while(|(occurrence, _)| {
            let due = spec.due_ms(occurrence);
            due.is_none_or(|due| due <= now.wall_ms).then_some(())
        });
        let due_count = due.count();
        if due_count < job.occurrences.len()
            && let Some(due) = u32::try_from(due_count)
                .ok()
                .and_then(|next| spec.due_ms(next))
        {
            self.upcoming.insert((due, id));
        }
        PendingJob::new(job, spec, queue, due_count)
    }

    /// Updates the jobs whose next occurrence has become due.
    pub(super) fn check_upcoming(&mut self, now: Moment) {
        while let Some((due, job)) = self.upcoming.first().copied()
            && due <= now.wall_ms
        {
            self.upcoming.pop_first();
            self.update_pending(now, job);
        }
    }

    /// Starts the tasks that can start in the pools that have changed.
    pub(super) fn plan(&mut self, now: Moment) {
        for pool in std::mem::take(&mut self.changed_pools) {
            self.plan_pool(now, &pool);
        }
    }

    fn plan_pool(&mut self, now: Moment, pool: &Arc<str>) {
        if self.pending.get(pool).is_none_or(BTreeSet::is_empty) {
            return;
        }
        let usable = self.usable_executors(now, pool);
        let mut view = self.pool_view(now, &usable);
        if self.load_shedding.enabled {
            self.plan_by_value(now, pool, &mut view);
        } else {
            self.plan_in_order(now, pool, &mut view);
        }
        for key in usable {
            self.hold_if_due(now, key);
        }
    }

    fn plan_in_order(&mut self, now: Moment, pool: &Arc<str>, view: &mut PoolView) {
        let mut max_free = view.max_free();
        let pending = self.pending.get(pool).into_iter().flatten();
        let jobs = pending.map(|(_, job)| *job);
        let jobs: Vec<_> = jobs.filter(|job| self.may_fit(*job, max_free)).collect();
        for job in self.sort_jobs(now, jobs) {
            if self.may_fit(job, max_free) && self.plan_job(now, job, view) {
                self.update_pending(now, job);
                max_free = view.max_free();
            }
        }
    }

    /// Returns whether a task of a pending job may fit on any executor.
    ///
    /// A cheap check that spares planning most jobs in a surge.
    pub(super) fn may_fit(&self, id: JobId, max_free: Resources) -> bool {
        let job = self.pending_jobs.get(&id);
        job.is_some_and(|job| max_free.covers(job.least_need) && self.has_quota_room(job))
    }

    /// Returns whether the quota of a job's workspace has room for any of its ready tasks.
    pub(super) fn has_quota_room(&self, job: &PendingJob) -> bool {
        job.workspace.is_none() || self.quota_room(job.workspace).covers(job.least_need)
    }

    /// Sorts jobs, given by rank, in the configured order; the sort keeps the rank between equal
    /// keys.
    fn sort_jobs(&self, now: Moment, jobs: Vec<JobId>) -> Vec<JobId> {
        if self.options.order == JobOrder::MooreHodgson {
            return self.most_on_time(now, jobs);
        }
        let jobs = jobs.into_iter();
        let mut jobs: Vec<_> = jobs.map(|id| (self.sort_key(now, id), id)).collect();
        jobs.sort_by_key(|(key, _)| *key);
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    fn sort_key(&self, now: Moment, id: JobId) -> (bool, u64) {
        if self.options.order == JobOrder::OnTimeFirst {
            return (false, self.timeliness_of(now, id) as u64);
        }
        let job = self.state.job(id);
        let parts =
            job.and_then(|job| Some((job, job.spec.as_ref()?, self.state.queue(job.queue)?)));
        let Some((job, spec, queue)) = parts else {
            return (true, u64::MAX);
        };
        let key = match self.options.order {
            JobOrder::EarliestDeadline => job.accepted_ms.saturating_add(on_time_ms(spec, queue)),
            JobOrder::Priority => 0,
            JobOrder::ValueDensity => u64::MAX - self.value_density(id).to_bits(),
            JobOrder::ShortestFirst => {
                let left = job
                    .occurrences
                    .iter()
                    .map(|occurrence| remaining_path_ms(spec, occurrence));
                left.max().unwrap_or_default()
            }
            JobOrder::OnTimeFirst | JobOrder::MooreHodgson | JobOrder::FirstComeFirstServed => {
                job.accepted_ms
            }
        };
        (!spec.is_long_running(), key)
    }

    /// Returns whether a pending job can still be on time if its remaining tasks start now.
    pub(super) fn timeliness_of(&self, now: Moment, id: JobId) -> Timeliness {
        let job = self.pending_jobs.get(&id);
        job.map_or(Timeliness::TooLate, |job| job.timeliness(now.wall_ms))
    }

    /// Starts the tasks of a job that can start; returns whether any did.
    pub(super) fn plan_job(&mut self, now: Moment, id: JobId, pool: &mut PoolView) -> bool {
        let mut any = false;
        for gang in self.startable_gangs(now, id) {
            any |=
                self.within_quota(&gang).len() == gang.len() && self.start_gang(now, &gang, pool);
        }
        let (suspects, startable) = self.startable_tasks(now, id);
        let same_step = |(a, _): &(TaskId, u32), (b, _): &(TaskId, u32)| {
            (a.occurrence, a.step) == (b.occurrence, b.step)
        };
        for tasks in suspects.chunk_by(same_step) {
            for (task, last_run, executor) in
                self.place_suspects(now, self.within_quota(tasks), pool)
            {
                let run = task.run(last_run + 1);
                self.place(now, run, executor);
                if let Some(view) = self.run_mut(executor, run) {
                    view.suspicion = Suspicion::Isolated;
                }
                any = true;
            }
        }
        for tasks in startable.chunk_by(same_step) {
            for (task, last_run, executor) in self.place_tasks(now, self.within_quota(tasks), pool)
            {
                self.place(now, task.run(last_run + 1), executor);
                any = true;
            }
        }
        any
    }

    /// Starts a run on an executor, and logs the figures that the choice was based on.
    fn place(&mut self, now: Moment, run: RunId, executor: ExecutorKey) {
        if let (Some(view), Some(record)) =
            (self.executors.get(&executor), self.state.executor(executor))
        {
            let free_milli = record
                .incarnation
                .capacity
                .saturating_sub(view.used)
                .cpu_milli;
            let since_contact = view
                .clock
                .map(|clock| now.monotonic.saturating_sub(clock.received));
            let heard_ms =
                since_contact.map(|elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
            let executor_id = record.incarnation.id.as_ref();
            log::info!(
                run:%, executor = executor.0, id = executor_id, free_milli, heard_ms;
                "placed"
            );
        }
        self.start(now, run, executor);
    }

    /// Starts all tasks of a gang with the same run number, or none of them.
    fn start_gang(&mut self, now: Moment, gang: &[(TaskId, u32)], pool: &mut PoolView) -> bool {
        let before = pool.clone();
        let placements = self.place_tasks(now, gang, pool);
        if placements.len() < gang.len() {
            *pool = before;
            return false;
        }
        let last = gang.iter().map(|(_, last)| *last).max().unwrap_or_default();
        for (task, _, executor) in placements {
            self.place(now, task.run(last + 1), executor);
        }
        true
    }

    /// Returns the gangs of a job that are ready to start and of which no task runs.
    fn startable_gangs(&self, now: Moment, id: JobId) -> Vec<Vec<(TaskId, u32)>> {
        let Some(job) = self.state.job(id) else {
            return Vec::new();
        };
        let Some(spec) = job.spec.as_ref().filter(|_| job.phase == JobPhase::Open) else {
            return Vec::new();
        };
        let mut gangs = Vec::new();
        for (occurrence_index, occurrence) in (0..).zip(&job.occurrences) {
            if spec
                .due_ms(occurrence_index)
                .is_some_and(|due| due > now.wall_ms)
            {
                break;
            }
            for (step_index, (step, record)) in (0..).zip(spec.steps.iter().zip(&occurrence.steps))
            {
                let idle = record.tasks.iter().all(|task| task.runs.is_empty());
                if step.gang && record.remaining > 0 && idle && occurrence.is_ready(step) {
                    let members = (0..).zip(&record.tasks).map(|(index, task)| {
                        (
                            TaskId::new(id, occurrence_index, step_index, index),
                            task.last_run,
                        )
                    });
                    let members: Vec<_> = members.collect();
                    let waits = |(task, _): &StartableTask| {
                        self.is_delayed(now, *task) || self.is_rejected(now, *task)
                    };
                    if !members.iter().any(waits) {
                        gangs.push(members);
                    }
                }
            }
        }
        gangs
    }

    /// Returns the tasks of a job, other than those of gangs, that are ready to start, with the
    /// number of their latest run; first those that may crash their executor.
    fn startable_tasks(&self, now: Moment, id: JobId) -> (Vec<StartableTask>, Vec<StartableTask>) {
        let mut found = self.waiting_tasks(now, id);
        if !self.rejected_starts.is_empty() {
            found.retain(|(task, _)| !self.is_rejected(now, *task));
        }
        if self.lapsed.is_empty() && !self.state.has_crashes(id) {
            return (Vec::new(), found);
        }
        let found = found.into_iter();
        let undelayed = found.filter(|(task, _)| !self.is_delayed(now, *task));
        undelayed.partition(|(task, _)| self.is_suspected(*task))
    }

    fn waiting_tasks(&self, now: Moment, id: JobId) -> Vec<StartableTask> {
        let mut found = Vec::new();
        let Some(job) = self.state.job(id) else {
            return found;
        };
        let Some(spec) = &job.spec else {
            return found;
        };
        for (occurrence_index, occurrence) in (0..).zip(&job.occurrences) {
            if spec
                .due_ms(occurrence_index)
                .is_some_and(|due| due > now.wall_ms)
            {
                break;
            }
            for (step_index, (step, record)) in (0..).zip(spec.steps.iter().zip(&occurrence.steps))
            {
                let any_order = self.options.defect == Some(Defect::StepsInAnyOrder);
                let ready = any_order || occurrence.is_ready(step);
                if step.gang || record.remaining == 0 || !ready {
                    continue;
                }
                let waiting = record.waiting();
                found.extend(waiting.map(|(index, task)| {
                    (
                        TaskId::new(id, occurrence_index, step_index, index),
                        task.last_run,
                    )
                }));
            }
        }
        found
    }

    /// Returns the work that waits in a pool ahead of a new job that must start within `slack`, and
    /// the cores to process it.
    pub(super) fn backlog(&self, now: Moment, pool: &Arc<str>, slack: Duration) -> Backlog {
        let mut cores = 0.0;
        for key in self.pool_executors.get(pool).into_iter().flatten() {
            let record = self.state.executor(*key).filter(|record| !record.leaving);
            let Some(record) = record else {
                continue;
            };
            let view = self.executors.get(key);
            let reserved = view.map_or(Resources::default(), |view| view.long_running_used);
            cores += record.incarnation.capacity.saturating_sub(reserved).cores();
        }
        let work = self.work_ahead(pool, slack);
        let incoming = self.incoming_cores(now, pool);
        Backlog {
            work,
            cores,
            incoming,
        }
    }
}
