//! Crashes of executors, and which of their runs may have caused them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::executor::{ExecutorView, RunOrigin};
use super::retirement::Retirement;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, JobSpec, RunId, TaskId};
use crate::state::{Command, CrashedRun, ExecutorKey, JobPhase, RunStart};

/// Time for which an executor must live on after the start of a run to have outlived it.
///
/// A shorter time leaves fewer tasks in doubt after a crash; a task that takes longer to crash an
/// executor is given up after more crashes.
pub(super) const START_WINDOW: Duration = Duration::from_millis(200);

/// Time for which further crashes in a rack do not count against the queues of their jobs.
const RACK_WINDOW: Duration = Duration::from_millis(500);

/// Age up to which jobs in the state count as started when a leader takes over; the time constant
/// of the shares.
const RESTORED_STARTS: Duration = Duration::from_secs(5);

impl Leader {
    /// Counts the end of an executor against its runs, unless it was expected to end; returns the
    /// jobs that are given up.
    pub(super) fn record_crash(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        reason: Retirement,
    ) -> Vec<JobId> {
        let lapsed = self.lapsed.take(key);
        if !self.has_crashed(key, reason) || self.options.defect == Some(Defect::IgnoreCrashes) {
            return Vec::new();
        }
        let Some(record) = self.state.executor(key) else {
            return Vec::new();
        };
        let view = self.executors.get(&key);
        let runs = record.runs.iter().map(|run| CrashedRun {
            run: *run,
            start: view.map_or(RunStart::Past, |view| view.start_of(*run)),
        });
        let runs: Vec<_> = runs.chain(lapsed).collect();
        let started = runs
            .iter()
            .filter(|crashed| crashed.start != RunStart::Past);
        let started: BTreeSet<_> = started.map(|crashed| crashed.run.task.job).collect();
        // Runs of a former leader may have started recently, too.
        let unseen = view.is_some_and(ExecutorView::has_unseen_runs);
        if let (1, Some(job), false) = (started.len(), started.first(), unseen) {
            self.sole_crashes.insert(*job);
        }
        let rack = record.incarnation.rack.clone();
        if view.is_none_or(|view| view.silence_counted == 0) && self.is_first_of_rack(now, rack) {
            // A repeated crash of a job says nothing about the other jobs of its queue.
            let fresh = started.iter().filter(|job| !self.has_suspects(**job));
            for job in fresh.copied().collect::<Vec<_>>() {
                self.count_crash(now, job, weight_of_one(started.len()));
            }
            self.count_silent_executors(now);
        }
        let jobs: BTreeSet<_> = runs.iter().map(|crashed| crashed.run.task.job).collect();
        let count = |start| runs.iter().filter(|crashed| crashed.start == start).count();
        let (recent, unanswered) = (count(RunStart::Recent), count(RunStart::Unanswered));
        log::info!(executor = key.0, runs = runs.len(), recent, unanswered; "executor crashed");
        let at_ms = now.wall_ms;
        let is_open = |leader: &Self, job: &JobId| {
            let record = leader.state.job(*job);
            record.is_some_and(|record| record.phase == JobPhase::Open)
        };
        let mut jobs: Vec<_> = jobs.into_iter().filter(|job| is_open(self, job)).collect();
        self.propose(Command::Crash { runs, at_ms });
        jobs.retain(|job| !is_open(self, job));
        jobs
    }

    /// Returns whether no other crash in a rack was counted shortly before. The executors of a rack
    /// that fails together end for a reason other than their jobs.
    fn is_first_of_rack(&mut self, now: Moment, rack: Option<Arc<str>>) -> bool {
        let Some(rack) = rack else {
            return true;
        };
        let last = self.rack_crashes.get(&rack);
        let first = last.is_none_or(|last| now.monotonic >= *last + RACK_WINDOW);
        if first {
            self.rack_crashes.insert(rack, now.monotonic);
        }
        first
    }

    /// Stops what is left of jobs that were given up.
    pub(super) fn end_given_up(&mut self, now: Moment, jobs: &[JobId]) {
        for job in jobs {
            log::warn!(job:%; "job given up, as its tasks crash executors");
            self.log_job_end(*job);
            self.update_pending(now, *job);
            self.stop_unneeded_runs(now, *job);
        }
    }

    /// Returns whether a removed executor has crashed: nobody has asked it to end, and it has not
    /// announced its end.
    fn has_crashed(&self, key: ExecutorKey, reason: Retirement) -> bool {
        let leaving = self.state.executor(key).is_none_or(|record| record.leaving);
        let mut claims = self.state.claims().values();
        let claimed = claims.any(|(_, executor)| *executor == Some(key));
        reason.is_crash() && !leaving && !claimed
    }

    /// Keeps the runs of an executor whose leases have expired. Whether it crashed will be known
    /// when it or its successor answers.
    pub(super) fn keep_lapsed(&mut self, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let runs = view.runs.keys().map(|run| CrashedRun {
            run: *run,
            start: view.start_of(*run),
        });
        for lapsed in runs {
            self.lapsed.add(key, lapsed);
        }
    }

    /// Takes over the lapsed runs that former leaders left. It is not known which were starting.
    pub(super) fn take_over_lapsed(&mut self, key: ExecutorKey) {
        for run in self.state.lapsed_runs(key) {
            let start = RunStart::Past;
            self.lapsed.add(key, CrashedRun { run, start });
        }
    }

    /// Returns whether a task waits until it is known whether executors have crashed on which its
    /// lease has expired: if they have, the task is to be given up.
    pub(super) fn awaits_lapsed(&self, task: TaskId) -> bool {
        self.state
            .reaches_crash_limit(task, self.lapsed.of_task(task))
    }

    /// Returns whether a task may have crashed executors, including those of which it is not known
    /// yet whether they crashed.
    pub(super) fn is_suspected(&self, task: TaskId) -> bool {
        self.state.is_suspected(task) || self.lapsed.is_recent(task)
    }

    /// Returns whether a task is started where no other job starts: it may have crashed executors,
    /// or many jobs of its queue do.
    pub(super) fn starts_apart(&self, now: Moment, task: TaskId) -> bool {
        self.is_suspected(task) || self.queue_starts_apart(now, task.job)
    }

    /// Returns whether many jobs of a job's queue crash executors, so that each of its tasks is
    /// treated as suspected. Long-running jobs are excluded, as they start once.
    pub(super) fn queue_starts_apart(&self, now: Moment, job: JobId) -> bool {
        if !self.crashes_counted {
            return false;
        }
        let Some(job) = self.state.job(job) else {
            return false;
        };
        let share = self.crash_shares.get(&job.queue);
        let long_running = job.spec.as_ref().is_some_and(JobSpec::is_long_running);
        !long_running && share.is_some_and(|share| share.starts_apart(now.monotonic))
    }

    /// Counts that an executor has fallen silent right after it started jobs whose queues have
    /// crashed other executors.
    ///
    /// Whether it has crashed is known 3 s later, when its successor is there. Until then a queue
    /// may crash all executors of its pool. Silence alone counts for nothing, as a partition causes
    /// it, too.
    pub(super) fn count_silence(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        if !self.crashes_counted || view.silence_counted > 0 {
            return;
        }
        let starting = view.runs.keys().filter(|run| view.is_starting(**run));
        let jobs: BTreeSet<_> = starting.map(|run| run.task.job).collect();
        let counts = |job: &JobId| {
            let queue = self.state.job(*job).map(|job| job.queue);
            let share = queue.and_then(|queue| self.crash_shares.get(&queue));
            share.is_some_and(|share| share.has_crashed(now.monotonic))
        };
        let fresh = jobs
            .iter()
            .filter(|job| counts(job) && !self.has_suspects(**job));
        let fresh: Vec<_> = fresh.copied().collect();
        if let Some(view) = self.executors.get_mut(&key) {
            view.silence_counted = fresh.len();
        }
        for job in fresh {
            self.count_crash(now, job, weight_of_one(jobs.len()));
        }
    }

    /// Counts the executors that are silent already; see [`count_silence`](Self::count_silence).
    fn count_silent_executors(&mut self, now: Moment) {
        let silent = self
            .executors
            .iter()
            .filter(|(_, view)| view.failed_holds > 0);
        let silent: Vec<_> = silent.map(|(key, _)| *key).collect();
        for key in silent {
            self.count_silence(now, key);
        }
    }

    /// Counts a start of a job's step, of which crashes are a share.
    pub(super) fn count_start(&mut self, now: Moment, job: JobId) {
        if self.has_suspects(job) {
            return;
        }
        if let Some(queue) = self.state.job(job).map(|job| job.queue) {
            let share = self.crash_shares.entry(queue).or_default();
            share.record_start(now.monotonic);
        }
    }

    /// Counts a crash that a job may have caused; `weight` is the share that falls to this job.
    fn count_crash(&mut self, now: Moment, job: JobId, weight: f64) {
        let Some(queue) = self.state.job(job).map(|job| job.queue) else {
            return;
        };
        self.crashes_counted = true;
        let share = self.crash_shares.entry(queue).or_default();
        let before = share.starts_apart(now.monotonic);
        share.record_crash(now.monotonic, weight);
        if !before && share.starts_apart(now.monotonic) {
            let share = share.share();
            log::warn!(queue = queue.0, share; "jobs of the queue are started apart, as many crash executors");
        }
    }

    /// Counts the suspected jobs that a former leader has left, and the recent jobs of which they
    /// are a share.
    ///
    /// An innocent job is suspected with each guilty one, on average.
    pub(super) fn take_over_suspects(&mut self, now: Moment) {
        let age_ms = u64::try_from(RESTORED_STARTS.as_millis()).unwrap_or(u64::MAX);
        let since_ms = now.wall_ms.saturating_sub(age_ms);
        let recent = self
            .state
            .jobs()
            .filter(|(_, job)| job.accepted_ms >= since_ms);
        for (_, job) in recent {
            let share = self.crash_shares.entry(job.queue).or_default();
            share.record_start(now.monotonic);
        }
        let jobs: BTreeSet<_> = self.state.suspected_jobs().collect();
        for job in jobs {
            self.count_crash(now, job, 0.5);
        }
    }

    /// Returns whether any task of a job is suspected; see [`is_suspected`](Self::is_suspected).
    pub(super) fn has_suspects(&self, job: JobId) -> bool {
        self.state.has_suspects(job) || self.lapsed.has_recent(job)
    }

    /// Clears suspected tasks whose start the executor has outlived.
    pub(super) fn clear_survivors(&mut self, key: ExecutorKey) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.suspects == 0 {
            return;
        }
        let survivors = view.take_survivors();
        for run in survivors {
            self.propose(Command::Survived { task: run.task });
            log::info!(run:%, executor = key.0; "the executor has outlived the start");
            self.lapsed.clear(run.task);
        }
        self.release_if_outlived(key);
    }

    /// Ends the quarantine of an executor once it has outlived all starts of suspected tasks.
    fn release_if_outlived(&mut self, key: ExecutorKey) {
        if let Some(view) = self.executors.get_mut(&key)
            && view.suspects == 0
            && view.quarantine.take().is_some()
        {
            self.plan_pool_of(key);
        }
    }

    /// Plans the pool of an executor again with the next decision.
    pub(super) fn plan_pool_of(&mut self, key: ExecutorKey) {
        if let Some(record) = self.state.executor(key) {
            let pool = Arc::clone(&record.incarnation.pool);
            self.changed_pools.insert(pool);
        }
    }
}

/// Returns the part of a crash that falls to each of the jobs that may have caused it.
#[expect(clippy::cast_precision_loss, reason = "jobs on an executor")]
fn weight_of_one(jobs: usize) -> f64 {
    1.0 / jobs.max(1) as f64
}

impl ExecutorView {
    /// Returns what is known of the start of a run.
    ///
    /// The age of a run of a former leader that this leader has never seen on the executor is not
    /// known; most such runs have been there for long.
    fn start_of(&self, run: RunId) -> RunStart {
        let Some(run) = self.runs.get(&run) else {
            return RunStart::Past;
        };
        let (Some((start_ms, _)), Some(clock)) = (run.baseline, self.clock) else {
            return match run.origin {
                RunOrigin::Placed => RunStart::Unanswered,
                RunOrigin::Inherited => RunStart::Past,
            };
        };
        let window = u64::try_from(START_WINDOW.as_millis()).unwrap_or(u64::MAX);
        if clock.clock_ms < start_ms.saturating_add(window) {
            RunStart::Recent
        } else {
            RunStart::Past
        }
    }

    /// Returns whether a former leader may have started runs that this leader has never seen on the
    /// executor.
    fn has_unseen_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.origin == RunOrigin::Inherited && run.baseline.is_none())
    }

    /// Returns whether the executor is not known to have outlived the start of a run.
    fn is_starting(&self, run: RunId) -> bool {
        self.start_of(run) != RunStart::Past
    }

    /// Returns whether only runs of `job` may still be starting on the executor.
    pub(super) fn is_quiet_for(&self, job: JobId) -> bool {
        let mut others = self.runs.keys().filter(|run| run.task.job != job);
        !others.any(|run| self.is_starting(*run))
    }

    /// Returns the suspected runs whose start the executor has outlived, which are no longer
    /// suspected.
    fn take_survivors(&mut self) -> Vec<RunId> {
        let suspects = self.runs.iter().filter(|(_, view)| view.suspected);
        let survivors = suspects.filter(|(run, _)| !self.is_starting(**run));
        let survivors: Vec<_> = survivors.map(|(run, _)| *run).collect();
        for run in &survivors {
            if let Some(view) = self.runs.get_mut(run) {
                view.suspected = false;
                self.suspects -= 1;
            }
        }
        survivors
    }
}
