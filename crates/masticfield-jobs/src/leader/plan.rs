//! Planning: which tasks start next, and the backlog that they form.

use std::sync::Arc;
use std::time::Duration;

use super::executor::RunPhase;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, JobSpec, Resources, RunId, TaskId};
use crate::schedule::{Backlog, JobOrder, Timeliness, on_time_ms, rank, timeliness};
use crate::state::{ExecutorKey, JobPhase, OccurrenceRecord};

impl Leader {
    /// Updates whether and where a job is in the pending jobs of its pool.
    pub(super) fn update_pending(&mut self, now: Moment, id: JobId) {
        let entry = self.pending_rank(now, id);
        let current = self.ranks.get(&id);
        if current == entry.as_ref() {
            return;
        }
        if let Some((pool, rank)) = self.ranks.remove(&id)
            && let Some(pending) = self.pending.get_mut(&pool)
        {
            pending.remove(&(rank, id));
        }
        if let Some((pool, rank)) = entry {
            let pending = self.pending.entry(Arc::clone(&pool)).or_default();
            pending.insert((rank, id));
            self.changed_pools.insert(Arc::clone(&pool));
            self.ranks.insert(id, (pool, rank));
        }
    }

    /// Returns the pool and rank of a job, or `None` if no task of it is ready to start.
    fn pending_rank(
        &mut self,
        now: Moment,
        id: JobId,
    ) -> Option<(Arc<str>, crate::schedule::Rank)> {
        let job = self.state.job(id)?;
        let spec = job.spec.as_ref().filter(|_| job.phase == JobPhase::Open)?;
        let queue = self.state.queue(job.queue)?;
        let mut startable = false;
        for (occurrence_index, occurrence) in (0..).zip(&job.occurrences) {
            let due = spec.due_ms(occurrence_index);
            if let Some(due) = due.filter(|due| *due > now.wall_ms) {
                self.upcoming.insert((due, id));
                break;
            }
            let mut steps = spec.steps.iter().zip(&occurrence.steps);
            startable |= steps.any(|(step, record)| {
                record.remaining > 0
                    && occurrence.is_ready(step)
                    && record.waiting().next().is_some()
            });
        }
        startable.then(|| (Arc::clone(&queue.pool), rank(spec, queue, job.accepted_ms)))
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
        let jobs: Vec<_> = match self.pending.get(pool) {
            Some(pending) if !pending.is_empty() => pending.iter().map(|(_, job)| *job).collect(),
            _ => return,
        };
        let jobs = self.sort_jobs(now, jobs);
        let executors = self.state.executors();
        let of_pool = executors.filter(|(_, record)| record.incarnation.pool == *pool);
        let usable: Vec<_> = of_pool.map(|(key, _)| key).collect();
        let usable: Vec<_> = usable
            .into_iter()
            .filter(|key| self.is_usable(now, *key))
            .collect();
        let mut max_free = self.max_free(now, &usable);
        for job in jobs {
            if !self.may_fit(job, max_free) {
                continue;
            }
            if self.plan_job(now, job, &usable) {
                self.update_pending(now, job);
                max_free = self.max_free(now, &usable);
            }
        }
        for key in usable {
            self.hold_if_due(now, key);
        }
    }

    /// Returns, for each resource, the largest free amount on any one executor.
    fn max_free(&self, now: Moment, usable: &[ExecutorKey]) -> Resources {
        let any_reliable = self.any_reliable(now, usable);
        let free = usable.iter().filter_map(|key| {
            let (record, view) = (self.state.executor(*key)?, self.executors.get(key)?);
            if !view.allows_start(now.monotonic, false, any_reliable) {
                return None;
            }
            Some(record.incarnation.capacity.saturating_sub(view.used))
        });
        free.fold(Resources::default(), |most, free| Resources {
            cpu_milli: most.cpu_milli.max(free.cpu_milli),
            memory_mb: most.memory_mb.max(free.memory_mb),
            gpus: most.gpus.max(free.gpus),
        })
    }

    /// Returns whether a task of the job may fit on any executor.
    ///
    /// A cheap check that spares planning most jobs in a surge.
    fn may_fit(&self, id: JobId, max_free: Resources) -> bool {
        let spec = self.state.job(id).and_then(|job| job.spec.as_ref());
        let mut steps = spec.into_iter().flat_map(|spec| &spec.steps);
        steps.any(|step| max_free.covers(step.reserved()))
    }

    /// Sorts jobs, given by rank, in the configured order; the sort keeps the rank between equal
    /// keys.
    fn sort_jobs(&self, now: Moment, jobs: Vec<JobId>) -> Vec<JobId> {
        let jobs = jobs.into_iter();
        let mut jobs: Vec<_> = jobs.map(|id| (self.sort_key(now, id), id)).collect();
        jobs.sort_by_key(|(key, _)| *key);
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    fn sort_key(&self, now: Moment, id: JobId) -> (bool, u64) {
        let job = self.state.job(id);
        let parts =
            job.and_then(|job| Some((job, job.spec.as_ref()?, self.state.queue(job.queue)?)));
        let Some((job, spec, queue)) = parts else {
            return (true, u64::MAX);
        };
        let key = match self.options.order {
            JobOrder::OnTimeFirst => return (false, self.timeliness_of(now, id) as u64),
            JobOrder::FirstComeFirstServed => job.accepted_ms,
            JobOrder::EarliestDeadline => job.accepted_ms + on_time_ms(spec, queue),
            JobOrder::ShortestFirst => {
                let left = job
                    .occurrences
                    .iter()
                    .map(|occurrence| remaining_path_ms(spec, occurrence));
                left.max().unwrap_or_default()
            }
        };
        (!spec.is_long_running(), key)
    }

    /// Returns whether a job can still be on time if its remaining tasks start now.
    pub(super) fn timeliness_of(&self, now: Moment, id: JobId) -> Timeliness {
        let Some(job) = self.state.job(id) else {
            return Timeliness::TooLate;
        };
        let (Some(spec), Some(queue)) = (&job.spec, self.state.queue(job.queue)) else {
            return Timeliness::TooLate;
        };
        if spec.is_long_running() || spec.timetable.is_some() {
            return Timeliness::OnTime;
        }
        let waited = now.wall_ms.saturating_sub(job.accepted_ms);
        let left = job
            .occurrences
            .iter()
            .map(|occurrence| remaining_path_ms(spec, occurrence));
        let left = left.max().unwrap_or_default();
        timeliness(on_time_ms(spec, queue), waited, left)
    }

    /// Starts the tasks of a job that can start; returns whether any did.
    fn plan_job(&mut self, now: Moment, id: JobId, usable: &[ExecutorKey]) -> bool {
        let mut any = false;
        for gang in self.startable_gangs(now, id) {
            any |= self.start_gang(now, &gang, usable);
        }
        let startable = self.startable_tasks(now, id);
        let same_step = |(a, _): &(TaskId, u32), (b, _): &(TaskId, u32)| {
            (a.occurrence, a.step) == (b.occurrence, b.step)
        };
        for tasks in startable.chunk_by(same_step) {
            for (task, last_run, executor) in self.place_tasks(now, tasks, usable) {
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
    fn start_gang(&mut self, now: Moment, gang: &[(TaskId, u32)], usable: &[ExecutorKey]) -> bool {
        let placements = self.place_tasks(now, gang, usable);
        if placements.len() < gang.len() {
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
                    gangs.push(members.collect());
                }
            }
        }
        gangs
    }

    /// Returns the tasks of a job, other than those of gangs, that are ready to start, with the
    /// number of their latest run.
    fn startable_tasks(&self, now: Moment, id: JobId) -> Vec<(TaskId, u32)> {
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

    /// Stops the long-running tasks on an executor that is leaving, so that they start elsewhere.
    pub(super) fn evacuate(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let long_running = view.runs.iter().filter(|(_, run)| {
            let stopping = matches!(
                run.phase,
                RunPhase::Stopping(_) | RunPhase::StopAcknowledged(_)
            );
            run.long_running && !stopping
        });
        let long_running: Vec<_> = long_running.map(|(run, _)| *run).collect();
        for run in long_running {
            self.stop(now, key, run);
        }
    }

    /// Returns the work that waits in a pool ahead of a new job, and the cores to process it.
    pub(super) fn backlog(&self, now: Moment, pool: &Arc<str>) -> Backlog {
        let mut cores = 0.0;
        for (key, record) in self.state.executors() {
            if record.incarnation.pool != *pool || record.leaving {
                continue;
            }
            let view = self.executors.get(&key);
            let long_running = view.into_iter().flat_map(|view| view.runs.values());
            let long_running = long_running.filter(|run| run.long_running);
            let reserved = long_running.map(|run| run.reserved);
            let reserved = reserved.fold(Resources::default(), Resources::saturating_add);
            cores += record.incarnation.capacity.saturating_sub(reserved).cores();
        }
        let mut work = 0.0;
        let pending = self.pending.get(pool).into_iter().flatten();
        for (_, id) in pending {
            work += self.remaining_work(*id);
        }
        let incoming = self.incoming_cores(now, pool);
        Backlog {
            work,
            cores,
            incoming,
        }
    }

    /// Returns the estimated work of a job's waiting tasks, in core-seconds; 0 for long-running
    /// jobs.
    fn remaining_work(&self, id: JobId) -> f64 {
        let Some(job) = self.state.job(id) else {
            return 0.0;
        };
        let Some(spec) = job.spec.as_ref().filter(|spec| !spec.is_long_running()) else {
            return 0.0;
        };
        let steps = job
            .occurrences
            .iter()
            .flat_map(|occurrence| spec.steps.iter().zip(&occurrence.steps));
        steps
            .map(|(step, record)| {
                let waiting = u32::try_from(record.waiting().count()).unwrap_or(u32::MAX);
                let time = Duration::from_millis(step.estimate_ms).as_secs_f64();
                f64::from(waiting) * time * step.need.cores()
            })
            .sum()
    }
}

/// Returns the estimated time of the longest chain of steps that are not done, in milliseconds.
///
/// A step counts half once none of its tasks waits to start.
fn remaining_path_ms(spec: &JobSpec, occurrence: &OccurrenceRecord) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (step, record) in spec.steps.iter().zip(&occurrence.steps) {
        let dependencies = step.depends_on.iter();
        let starts = dependencies.filter_map(|dependency| ends.get(usize::from(*dependency)));
        let time = match (record.remaining, record.waiting().next()) {
            (0, _) => 0,
            (_, Some(_)) => step.estimate_ms,
            (_, None) => step.estimate_ms / 2,
        };
        ends.push(starts.max().copied().unwrap_or_default() + time);
    }
    ends.into_iter().max().unwrap_or_default()
}
