//! Crashes of executors, and which of their runs may have caused them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::executor::{ExecutorView, RunLocation, RunOrigin, Suspicion};
use super::retirement::Retirement;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, RunId, TaskId};
use crate::state::{Command, CrashedRun, ExecutorKey, RunStart};

/// Time for which an executor must live on after the start of a run to have outlived it.
///
/// A shorter time leaves fewer tasks in doubt after a crash; a task that takes longer to crash an
/// executor is not given up.
pub(super) const START_WINDOW: Duration = Duration::from_millis(200);

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
            start: view.map_or(RunStart::Unknown, |view| view.start_of(*run)),
        });
        // A silent executor may be cut off, and its runs may have gone on.
        let is_silent = reason == Retirement::Silent;
        let runs = runs.chain(lapsed).map(|crashed| match crashed.start {
            RunStart::Isolated if is_silent => CrashedRun {
                start: RunStart::Unanswered,
                ..crashed
            },
            _ => crashed,
        });
        let runs: Vec<_> = runs.collect();
        let jobs: BTreeSet<_> = runs.iter().map(|crashed| crashed.run.task.job).collect();
        let count = |start| runs.iter().filter(|crashed| crashed.start == start).count();
        let (recent, unanswered) = (count(RunStart::Recent), count(RunStart::Unanswered));
        let isolated = count(RunStart::Isolated);
        log::info!(
            executor = key.0, runs = runs.len(), recent, unanswered, isolated;
            "executor crashed"
        );
        let at_ms = now.wall_ms;
        let mut jobs: Vec<_> = jobs.into_iter().filter(|job| self.is_open(*job)).collect();
        let before = runs.iter().map(|crashed| {
            let crashes = self.state.crashes(crashed.run.task);
            (*crashed, crashes)
        });
        let before: Vec<_> = before.collect();
        self.propose(if self.options.defect == Some(Defect::GiveUpEarly) {
            Command::Crash { runs, at_ms }
        } else {
            Command::ExecutorCrash { runs, at_ms }
        });
        for (crashed, _) in &before {
            self.crash_times.insert(crashed.run.task, now.monotonic);
        }
        jobs.retain(|job| !self.is_open(*job));
        for (crashed, (crashes, at_start)) in before {
            let (run, start) = (crashed.run, crashed.start.name());
            if jobs.contains(&run.task.job) {
                log::info!(
                    job:% = run.task.job, run:%, start, crashes, at_start;
                    "run of a job that is given up, with the crashes before"
                );
            } else {
                self.log_delay(run);
            }
        }
        jobs
    }

    /// Logs by how much the next start of a task is delayed after a crash, if it is.
    fn log_delay(&self, run: RunId) {
        let delay_ms = self.state.restart_delay_ms(run.task, 0);
        if delay_ms > 0 && self.is_open(run.task.job) {
            let (crashes, at_start) = self.state.crashes(run.task);
            log::info!(
                run:%, delay_ms, crashes, at_start;
                "next start of a task delayed, as its executors crash"
            );
        }
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
    pub(super) fn keep_lapsed(&mut self, now: Moment, key: ExecutorKey, runs: &[RunId]) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let runs = runs.iter().map(|run| CrashedRun {
            run: *run,
            start: view.start_of(*run),
        });
        for lapsed in runs {
            self.lapsed.add(now.monotonic, key, lapsed);
        }
    }

    /// Takes over the lapsed runs that former leaders left.
    pub(super) fn take_over_lapsed(&mut self, now: Moment, key: ExecutorKey) {
        for run in self.state.lapsed_runs(key) {
            let start = RunStart::Unknown;
            self.lapsed
                .add(now.monotonic, key, CrashedRun { run, start });
        }
    }

    /// Takes over the times of the latest crashes. One by a clock that was ahead counts as of now.
    pub(super) fn take_over_crash_times(&mut self, now: Moment) {
        let times = self.state.latest_crashes().map(|(task, at_ms)| {
            let age = Duration::from_millis(now.wall_ms.saturating_sub(at_ms));
            (task, now.monotonic.saturating_sub(age))
        });
        self.crash_times = times.collect();
    }

    /// Returns whether the next start of a task is delayed, as executors have crashed under it, or may
    /// have that fell silent right after its start.
    pub(super) fn is_delayed(&self, now: Moment, task: TaskId) -> bool {
        if self.options.defect == Some(Defect::RestartAtOnce) {
            return false;
        }
        let is_counted = |run| self.state.is_latest_crash(run);
        let (silent, silent_since) = self.lapsed.at_start(task, is_counted);
        let crashed = self.crash_times.get(&task).copied();
        let Some(latest) = crashed.max(silent_since) else {
            return false;
        };
        let delay = Duration::from_millis(self.state.restart_delay_ms(task, silent));
        now.monotonic < latest + delay
    }

    /// Returns whether a task may have crashed executors, including those of which it is not known
    /// yet whether they crashed.
    pub(super) fn is_suspected(&self, task: TaskId) -> bool {
        self.state.is_suspected(task) || self.lapsed.is_recent(task)
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
        for run in view.take_survivors() {
            self.propose(Command::Survived { task: run.task });
            log::info!(run:%, executor = key.0; "the executor has outlived the start");
            self.lapsed.clear(run.task);
            self.release_if_cleared(key, run.task.job);
        }
    }

    /// Ends the quarantine of an executor once no task of its job is suspected any more.
    fn release_if_cleared(&mut self, key: ExecutorKey, job: JobId) {
        if self.has_suspects(job) {
            return;
        }
        if let Some(view) = self.executors.get_mut(&key)
            && view
                .quarantine
                .is_some_and(|quarantine| quarantine.job == job)
        {
            view.quarantine = None;
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

impl ExecutorView {
    /// Returns what is known of the start of a run.
    ///
    /// The age of a run of a former leader is not known until the executor has reported it, unless the
    /// state has its location, which is recorded once it has lasted for a while.
    fn start_of(&self, run: RunId) -> RunStart {
        let Some(run) = self.runs.get(&run) else {
            return RunStart::Unknown;
        };
        let (Some((start_ms, _)), Some(clock)) = (run.baseline, self.clock) else {
            return match run.origin {
                _ if run.location == RunLocation::Recorded => RunStart::Past,
                RunOrigin::Placed => RunStart::Unanswered,
                RunOrigin::Inherited | RunOrigin::Reassigned => RunStart::Unknown,
            };
        };
        let window = u64::try_from(START_WINDOW.as_millis()).unwrap_or(u64::MAX);
        if clock.clock_ms >= start_ms.saturating_add(window) {
            RunStart::Past
        } else if run.suspicion == Suspicion::Isolated {
            RunStart::Isolated
        } else {
            RunStart::Recent
        }
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
        let survivors = self.runs.iter().filter(|(run, view)| {
            // A run that was reassigned may never have been there.
            let seen = view.baseline.is_some() || view.location == RunLocation::Recorded;
            view.suspicion.is_suspected() && seen && !self.is_starting(**run)
        });
        let survivors: Vec<_> = survivors.map(|(run, _)| *run).collect();
        for run in &survivors {
            if let Some(view) = self.runs.get_mut(run) {
                view.suspicion = Suspicion::None;
                self.suspects -= 1;
            }
        }
        survivors
    }
}
