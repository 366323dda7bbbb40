//! Orders to start and stop runs, and the answers of executors.

use std::sync::Arc;
use std::time::Duration;

use super::executor::{RunLocation, RunPhase};
use super::retirement::Retirement;
use super::{Call, CallError, Defect, Effect, Leader, Moment, Rejection};
use crate::job::{JobId, RunId};
use crate::state::{Attempts, Command, EndKind, ExecutorKey, JobPhase, JobRecord};

/// Number of unanswered orders to start after which the run is stopped instead.
const MAX_START_ATTEMPTS: u32 = 3;

/// The same for a long-running task, which may well be running; a report would show it.
const MAX_LONG_RUNNING_START_ATTEMPTS: u32 = 7;

/// Time before an unanswered order to start is repeated.
const START_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time before an order to stop that has had no effect is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Time for which no task starts on an executor after it rejected one.
const REJECTION_BACKOFF: Duration = Duration::from_millis(600);

impl Leader {
    /// Places a task: records the run, and orders the executor to start it after the commit.
    pub(super) fn start(&mut self, now: Moment, run: RunId, executor: ExecutorKey) {
        if !self.may_start(run.task) || !self.propose(Command::Start { run, executor }) {
            return;
        }
        let view = self.new_run_view(now, run, RunPhase::Ordered);
        let was_idle = if let Some(executor) = self.executors.get_mut(&executor) {
            let was_idle = executor.runs.is_empty();
            if was_idle {
                // It may have started again unnoticed, as it was not polled.
                executor.withhold_acknowledgement(self.options.defect);
            }
            executor.add_run(run, view);
            was_idle
        } else {
            false
        };
        self.send_start(now, executor, run);
        if was_idle {
            self.poll_now(now, executor);
        }
    }

    fn send_start(&mut self, now: Moment, executor: ExecutorKey, run: RunId) {
        let job = self.state.job(run.task.job);
        let payload = job.and_then(|job| job.spec.as_ref().map(|spec| Arc::clone(&spec.payload)));
        let saved = job.and_then(|job| job.task(run.task)?.saved.clone());
        let Some(payload) = payload else {
            return;
        };
        let Some(deadline_ms) = self.extend_lease(now, executor) else {
            return;
        };
        let Some(view) = self.run_mut(executor, run) else {
            return;
        };
        view.phase = RunPhase::Ordered;
        view.location = RunLocation::ThisOrLater;
        view.pending_starts += 1;
        self.call(
            executor,
            Call::Start {
                run,
                payload,
                saved,
                deadline_ms,
            },
        );
    }

    /// Extends the lease on an executor; returns its new end on the executor's clock in
    /// milliseconds, or `None` if that clock is not known.
    pub(super) fn extend_lease(&mut self, now: Moment, executor: ExecutorKey) -> Option<u64> {
        let lease = u64::try_from(self.options.lease.as_millis()).unwrap_or(u64::MAX);
        let view = self.executors.get_mut(&executor)?;
        let deadline = view.clock?.estimate(now.monotonic).saturating_add(lease);
        view.lease_extended_at = now.monotonic;
        if view.failed_holds == 0 {
            view.deadline_ms = view.deadline_ms.max(deadline);
        }
        // While calls fail the lease must expire, so calls that arrive late must not extend it.
        Some(view.deadline_ms.min(deadline))
    }

    pub(super) fn call(&mut self, executor: ExecutorKey, call: Call) {
        let Some(record) = self.state.executor(executor) else {
            return;
        };
        let id = Arc::clone(&record.incarnation.id);
        let address = Arc::clone(&record.incarnation.address);
        self.after_commit(Effect::Call {
            executor,
            id,
            address,
            call,
        });
    }

    pub(super) fn run_mut(
        &mut self,
        executor: ExecutorKey,
        run: RunId,
    ) -> Option<&mut super::executor::RunView> {
        self.executors.get_mut(&executor)?.runs.get_mut(&run)
    }

    pub(super) fn on_start_result(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        result: Result<u64, CallError>,
    ) {
        let view = self.executors.get(&executor);
        let located = view.zip(result.ok());
        let located =
            located.is_some_and(|(view, clock)| view.is_same_incarnation(now.monotonic, clock));
        self.record_clock(now, executor, result);
        let Some(view) = self.run_mut(executor, run) else {
            return;
        };
        if located {
            view.locate();
        }
        let stopping = matches!(
            view.phase,
            RunPhase::Stopping(_) | RunPhase::StopAcknowledged(_)
        );
        match result {
            Ok(clock_ms) => {
                view.pending_starts -= 1;
                view.baseline.get_or_insert((clock_ms, 0));
                if !stopping {
                    view.phase = RunPhase::Confirmed(now.monotonic);
                }
                let (long_running, suspected) = (view.long_running, view.suspicion.is_suspected());
                self.rejected_starts.remove(&run.task);
                self.record_begun(run.task.job);
                if suspected || (long_running && !self.hosts.upkeep_due.is_empty()) {
                    self.poll_beside(now, executor);
                }
            }
            Err(CallError::Unknown) => self.on_start_unanswered(now, executor, run, stopping),
            Err(CallError::OtherIncarnation) => self.retire(now, executor, Retirement::Replaced),
            Err(CallError::Rejected(reason)) => {
                view.pending_starts -= 1;
                let open = view.pending_starts;
                log::info!(run:%, executor = executor.0, why = reason.name(); "start rejected");
                self.on_start_rejected(now, (executor, run), reason, open);
            }
        }
    }

    fn on_start_unanswered(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        stopping: bool,
    ) {
        let Some(view) = self.run_mut(executor, run).filter(|_| !stopping) else {
            return;
        };
        if matches!(view.phase, RunPhase::Confirmed(_)) {
            // A report has confirmed the run in the meantime.
            return;
        }
        if self.options.defect == Some(Defect::UnansweredNeverRan) {
            return self.end_run(now, executor, run, EndKind::NotRun, None);
        }
        let Some(view) = self.run_mut(executor, run) else {
            return;
        };
        let tries = if view.long_running {
            MAX_LONG_RUNNING_START_ATTEMPTS
        } else {
            MAX_START_ATTEMPTS
        };
        view.phase = RunPhase::Retry(now.monotonic + START_RETRY_DELAY);
        if view.pending_starts >= tries && self.may_stop(now, run) {
            self.stop(now, executor, run);
        }
    }

    fn on_start_rejected(
        &mut self,
        now: Moment,
        (executor, run): (ExecutorKey, RunId),
        reason: Rejection,
        pending_starts: u32,
    ) {
        match reason {
            // Another replica leads and decides about the run.
            Rejection::Fence => return,
            Rejection::StaleRun => {
                // The executor has had the run, so a report will contain it or its end.
                if let Some(view) = self.run_mut(executor, run) {
                    view.phase = RunPhase::Confirmed(now.monotonic);
                }
                return self.poll_now(now, executor);
            }
            _ => {}
        }
        if let Some(view) = self.executors.get_mut(&executor) {
            view.backoff_until = now.monotonic + REJECTION_BACKOFF;
        }
        let mut retry_delay = REJECTION_BACKOFF;
        if reason == Rejection::Malformed {
            retry_delay = retry_delay.max(self.record_malformed_start(now, executor, run));
        }
        if pending_starts > 0 {
            // An earlier order may still be carried out.
            if self.may_stop(now, run) {
                self.stop(now, executor, run);
            } else if let Some(view) = self.run_mut(executor, run) {
                view.phase = RunPhase::Retry(now.monotonic + retry_delay);
            }
        } else {
            self.end_run(now, executor, run, EndKind::NotRun, None);
        }
    }

    /// Records that an executor has rejected a start as malformed; returns the time before the next one
    /// there.
    ///
    /// Nothing has run, so that it is no failed attempt of the task. It tells of the executor's
    /// reliability like a failed run, as an executor that rejects every task always has free capacity.
    fn record_malformed_start(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
    ) -> Duration {
        self.record_task_failure(now, executor, run);
        let rejected = self.rejected_starts.entry(run.task).or_default();
        rejected.record(now.monotonic, executor);
        let (rejections, delay) = (rejected.count(), rejected.delay());
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        log::warn!(
            run:%, executor = executor.0, rejections, delay_ms;
            "start delayed, as executors reject it as malformed"
        );
        delay
    }

    /// Records that an executor has begun a task of a job, unless that is known.
    ///
    /// An order alone shows nothing: the executor may reject it, or be lost before it arrives.
    pub(super) fn record_begun(&mut self, job: JobId) {
        let waits = |record: &JobRecord| !record.begun && record.phase == JobPhase::Open;
        if self.state.job(job).is_some_and(waits) {
            self.propose(Command::Begun { job });
        }
    }

    /// Orders an executor to stop a run.
    pub(super) fn stop(&mut self, now: Moment, executor: ExecutorKey, run: RunId) {
        if let Some(view) = self.run_mut(executor, run) {
            view.phase = RunPhase::Stopping(now.monotonic);
            self.call(executor, Call::Stop { run });
            self.poll_now(now, executor);
        }
    }

    /// Stops the runs of a job that are no longer needed.
    pub(super) fn stop_unneeded_runs(&mut self, now: Moment, job: JobId) {
        let Some(record) = self.state.job(job) else {
            return;
        };
        let steps =
            record
                .occurrences
                .iter()
                .zip(0..)
                .flat_map(|(occurrence, occurrence_index)| {
                    let steps = occurrence.steps.iter().zip(0..);
                    steps.map(move |(step, step_index)| (step, occurrence_index, step_index))
                });
        let runs = steps.flat_map(|(step, occurrence_index, step_index)| {
            let tasks = step.tasks.iter().zip(0..);
            tasks.flat_map(move |(task, index)| {
                let task_id = crate::job::TaskId::new(job, occurrence_index, step_index, index);
                task.runs
                    .iter()
                    .map(move |(run, executor)| (*executor, task_id.run(*run)))
            })
        });
        let runs: Vec<_> = runs.filter(|(_, run)| !record.needs(*run)).collect();
        for (executor, run) in runs {
            let view = self.run_mut(executor, run);
            let phase = view.map(|view| view.phase);
            let stopping = matches!(
                phase,
                Some(RunPhase::Stopping(_) | RunPhase::StopAcknowledged(_))
            );
            if !stopping {
                self.stop(now, executor, run);
            }
        }
    }

    pub(super) fn on_stop_result(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        result: Result<u64, CallError>,
    ) {
        self.record_clock(now, executor, result);
        match result {
            Ok(_) => {
                if let Some(view) = self.run_mut(executor, run) {
                    view.phase = RunPhase::StopAcknowledged(now.monotonic);
                }
                self.poll_now(now, executor);
            }
            Err(CallError::OtherIncarnation) => self.retire(now, executor, Retirement::Replaced),
            // The order is repeated until a report contains the end of the run.
            Err(CallError::Unknown | CallError::Rejected(_)) => {}
        }
    }

    fn record_clock(&mut self, now: Moment, executor: ExecutorKey, result: Result<u64, CallError>) {
        if let (Ok(clock_ms), Some(view)) = (result, self.executors.get_mut(&executor))
            // The answer does not tell the incarnation, so that it settles no dispute on the clock.
            && view.continues_clock(now.monotonic, clock_ms)
        {
            view.record_clock(now.monotonic, clock_ms);
        }
    }

    /// Repeats orders that are due and have had no effect.
    pub(super) fn retry_orders(&mut self, now: Moment, executor: ExecutorKey) {
        let Some(view) = self.executors.get(&executor) else {
            return;
        };
        if view.superseded_at.is_some() {
            return;
        }
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        for (run, view) in &view.runs {
            match view.phase {
                RunPhase::Retry(due) if now.monotonic >= due => starts.push(*run),
                RunPhase::Stopping(sent) if now.monotonic >= sent + STOP_RETRY_DELAY => {
                    stops.push(*run);
                }
                _ => {}
            }
        }
        let record = self.state.executor(executor);
        let leaving = record.is_some_and(|record| record.leaving);
        for run in starts {
            let known = self.is_capacity_known(now, executor);
            if !leaving && known && !self.exceeds_capacity(executor) {
                self.send_start(now, executor, run);
            } else if self.may_stop(now, run) {
                // The executor is leaving, or its capacity has shrunk or may have, since the run was
                // placed.
                self.stop(now, executor, run);
            } else if let Some(view) = self.run_mut(executor, run) {
                view.phase = RunPhase::Retry(now.monotonic + START_RETRY_DELAY);
            }
        }
        for run in stops {
            // Other tasks of the step may have become unavailable since the first order.
            if self.is_absent(executor, run) || self.may_stop(now, run) {
                self.stop(now, executor, run);
            }
        }
    }

    /// Returns whether an executor answers and is not known to have had a run, so that a stop takes no
    /// task away.
    fn is_absent(&self, executor: ExecutorKey, run: RunId) -> bool {
        let view = self.executors.get(&executor);
        let view = view.filter(|view| view.responsive && view.failed_holds == 0);
        let run = view.and_then(|view| view.runs.get(&run));
        run.is_some_and(|run| run.baseline.is_none())
    }

    /// Returns whether the runs on an executor reserve more than its capacity.
    fn exceeds_capacity(&self, key: ExecutorKey) -> bool {
        let (view, record) = (self.executors.get(&key), self.state.executor(key));
        let capacity = record.map(|record| record.incarnation.capacity);
        view.zip(capacity)
            .is_some_and(|(view, capacity)| !capacity.covers(view.used))
    }

    /// Records the end of a run, and decides what follows for its job and its executor.
    pub(super) fn end_run(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        kind: EndKind,
        saved: Option<Arc<str>>,
    ) {
        let was_open = self.is_open(run.task.job);
        let attempts = self.state.attempts(run.task);
        let shares_attempts = self.state.shares_attempts(run.task);
        let recorded = self.propose(Command::End {
            run,
            executor,
            kind: match kind {
                EndKind::Failed if shares_attempts => EndKind::MemberFailed,
                kind => kind,
            },
            saved,
            at_ms: now.wall_ms,
        });
        if !recorded {
            return;
        }
        log::info!(run:%, executor = executor.0, how = kind.name(); "run ended");
        if let Some(view) = self.executors.get_mut(&executor)
            && let Some(ended) = view.remove_run(run)
        {
            self.record_end(now, executor, run, &ended, kind);
        }
        if let Some(record) = self.state.executor(executor) {
            self.changed_pools
                .insert(Arc::clone(&record.incarnation.pool));
        }
        if was_open && !self.is_open(run.task.job) {
            self.log_job_end(run.task.job);
            if let Some(attempts) = attempts.filter(|_| kind == EndKind::Failed) {
                log_exhausted_attempts(run, attempts);
            }
        }
        self.update_pending(now, run.task.job);
        self.stop_unneeded_runs(now, run.task.job);
    }

    /// Returns whether a job has not ended.
    pub(super) fn is_open(&self, id: JobId) -> bool {
        let job = self.state.job(id);
        job.is_some_and(|job| job.phase == JobPhase::Open)
    }

    /// Logs that a job has ended.
    pub(super) fn log_job_end(&self, id: JobId) {
        if let Some(job) = self.state.job(id)
            && let Some(ended) = job.ended_ms
        {
            let took_ms = ended.saturating_sub(job.accepted_ms);
            log::info!(job:% = id, end = job.phase.name(), took_ms; "job ended");
        }
    }
}

/// Logs why a job has failed with a run; `attempts` are those before its end.
fn log_exhausted_attempts(run: RunId, attempts: Attempts) {
    let failures = attempts.failures + 1;
    let (limit, configured) = (attempts.limit, attempts.is_configured);
    log::info!(job:% = run.task.job, run:%, failures, limit, configured; "job failed by its attempts");
}
