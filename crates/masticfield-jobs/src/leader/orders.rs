//! Orders to start and to stop runs, and their answers.

use std::sync::Arc;
use std::time::Duration;

use super::executor::RunPhase;
use super::{Call, CallError, Defect, Effect, Leader, Moment, Rejection};
use crate::job::{JobId, RunId};
use crate::state::{Command, EndKind, ExecutorKey, JobPhase};

/// Tries of an order to start after which the run is stopped instead.
const START_TRIES: u32 = 3;

/// The same for a task that lasts: it may well be at work, and a list will show it.
const LASTING_START_TRIES: u32 = 7;

/// Time before an order is repeated that got no answer.
const REPEAT_AFTER: Duration = Duration::from_millis(100);

/// Time before an order to stop is repeated that had no effect yet.
const STOP_AGAIN_AFTER: Duration = Duration::from_millis(700);

/// Time for which no task starts on an executor that rejected one.
const REST: Duration = Duration::from_millis(600);

impl Leader {
    /// Places a task: the run is noted first and ordered once that is committed.
    pub(super) fn start(&mut self, now: Moment, run: RunId, executor: ExecutorKey) {
        if !self.commit(Command::Start { run, executor }) {
            return;
        }
        let view = self.run_view(now, run, RunPhase::Ordered);
        let first = if let Some(executor) = self.executors.get_mut(&executor) {
            let first = executor.runs.is_empty();
            executor.add(run, view);
            first
        } else {
            false
        };
        self.order_start(now, executor, run);
        if first {
            self.ask_soon(now, executor);
        }
    }

    fn order_start(&mut self, now: Moment, executor: ExecutorKey, run: RunId) {
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
        view.open_tries += 1;
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

    /// A later end of the lease, if the executor's clock is known.
    pub(super) fn extend_lease(&mut self, now: Moment, executor: ExecutorKey) -> Option<u64> {
        let lease = u64::try_from(self.options.lease.as_millis()).unwrap_or(u64::MAX);
        let view = self.executors.get_mut(&executor)?;
        let deadline = view.clock?.estimate(now.monotonic) + lease;
        if view.failures == 0 {
            view.deadline_ms = view.deadline_ms.max(deadline);
        }
        // Without answers the lease must run out, whatever arrives late.
        Some(view.deadline_ms.min(deadline))
    }

    pub(super) fn call(&mut self, executor: ExecutorKey, call: Call) {
        let Some(record) = self.state.executor(executor) else {
            return;
        };
        let id = Arc::clone(&record.incarnation.id);
        let address = Arc::clone(&record.incarnation.address);
        self.then(Effect::Call {
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

    pub(super) fn on_started(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        result: Result<u64, CallError>,
    ) {
        self.hear(now, executor, result);
        let Some(view) = self.run_mut(executor, run) else {
            return;
        };
        let stopping = matches!(view.phase, RunPhase::Stopping(_) | RunPhase::StopTaken(_));
        match result {
            Ok(clock_ms) => {
                view.open_tries -= 1;
                view.began.get_or_insert((clock_ms, 0));
                if !stopping {
                    view.phase = RunPhase::There(now.monotonic);
                }
            }
            Err(CallError::Unknown) => self.start_unanswered(now, executor, run, stopping),
            Err(CallError::OtherIncarnation) => self.retire(now, executor, "another life answers"),
            Err(CallError::Rejected(why)) => {
                view.open_tries -= 1;
                let open = view.open_tries;
                log::info!(run:%, executor = executor.0, why = why.name(); "start rejected");
                self.start_rejected(now, (executor, run), why, open);
            }
        }
    }

    fn start_unanswered(&mut self, now: Moment, executor: ExecutorKey, run: RunId, stopping: bool) {
        let Some(view) = self.run_mut(executor, run).filter(|_| !stopping) else {
            return;
        };
        if matches!(view.phase, RunPhase::There(_)) {
            // A list has shown it meanwhile.
            return;
        }
        if self.options.defect == Some(Defect::UnansweredNeverRan) {
            return self.end(now, executor, run, EndKind::NotRun, None);
        }
        let Some(view) = self.run_mut(executor, run) else {
            return;
        };
        let tries = if view.lasting {
            LASTING_START_TRIES
        } else {
            START_TRIES
        };
        if view.open_tries < tries {
            view.phase = RunPhase::Again(now.monotonic + REPEAT_AFTER);
        } else {
            self.stop(now, executor, run);
        }
    }

    fn start_rejected(
        &mut self,
        now: Moment,
        (executor, run): (ExecutorKey, RunId),
        why: Rejection,
        open_tries: u32,
    ) {
        match why {
            // Another replica leads, and decides about the run.
            Rejection::Fence => return,
            Rejection::StaleRun => {
                // Its end will be listed.
                if let Some(view) = self.run_mut(executor, run) {
                    view.phase = RunPhase::There(now.monotonic);
                }
                return self.ask_soon(now, executor);
            }
            _ => {}
        }
        if let Some(view) = self.executors.get_mut(&executor) {
            view.rests_until = now.monotonic + REST;
        }
        if open_tries > 0 {
            // An earlier order may yet be carried out.
            self.stop(now, executor, run);
        } else if why == Rejection::Malformed {
            self.end(now, executor, run, EndKind::Failed, None);
        } else {
            self.end(now, executor, run, EndKind::NotRun, None);
        }
    }

    /// Tells an executor to stop a run.
    pub(super) fn stop(&mut self, now: Moment, executor: ExecutorKey, run: RunId) {
        if let Some(view) = self.run_mut(executor, run) {
            view.phase = RunPhase::Stopping(now.monotonic);
            self.call(executor, Call::Stop { run });
            self.ask_soon(now, executor);
        }
    }

    /// Stops the runs of a job that are no longer wanted.
    pub(super) fn stop_unwanted(&mut self, now: Moment, job: JobId) {
        let Some(record) = self.state.job(job) else {
            return;
        };
        let steps = record
            .occurrences
            .iter()
            .zip(0..)
            .flat_map(|(round, occurrence)| {
                let steps = round.steps.iter().zip(0..);
                steps.map(move |(step, number)| (step, occurrence, number))
            });
        let runs = steps.flat_map(|(step, occurrence, number)| {
            let tasks = step.tasks.iter().zip(0..);
            tasks.flat_map(move |(task, index)| {
                let id = crate::job::TaskId::new(job, occurrence, number, index);
                task.runs
                    .iter()
                    .map(move |(run, executor)| (*executor, id.run(*run)))
            })
        });
        let runs: Vec<_> = runs.filter(|(_, run)| !record.needs(*run)).collect();
        for (executor, run) in runs {
            let view = self.run_mut(executor, run);
            let phase = view.map(|view| view.phase);
            let told = matches!(phase, Some(RunPhase::Stopping(_) | RunPhase::StopTaken(_)));
            if !told {
                self.stop(now, executor, run);
            }
        }
    }

    pub(super) fn on_stopped(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        result: Result<u64, CallError>,
    ) {
        self.hear(now, executor, result);
        match result {
            Ok(_) => {
                if let Some(view) = self.run_mut(executor, run) {
                    view.phase = RunPhase::StopTaken(now.monotonic);
                }
                self.ask_soon(now, executor);
            }
            Err(CallError::OtherIncarnation) => self.retire(now, executor, "another life answers"),
            // Repeated until the end is listed.
            Err(CallError::Unknown | CallError::Rejected(_)) => {}
        }
    }

    fn hear(&mut self, now: Moment, executor: ExecutorKey, result: Result<u64, CallError>) {
        if let (Ok(clock_ms), Some(view)) = (result, self.executors.get_mut(&executor)) {
            view.hear(now.monotonic, clock_ms);
        }
    }

    /// Repeats orders that had no effect yet.
    pub(super) fn repeat_orders(&mut self, now: Moment, executor: ExecutorKey) {
        let Some(view) = self.executors.get(&executor) else {
            return;
        };
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        for (run, view) in &view.runs {
            match view.phase {
                RunPhase::Again(due) if now.monotonic >= due => starts.push(*run),
                RunPhase::Stopping(sent) if now.monotonic >= sent + STOP_AGAIN_AFTER => {
                    stops.push(*run);
                }
                _ => {}
            }
        }
        for run in starts {
            self.order_start(now, executor, run);
        }
        for run in stops {
            self.stop(now, executor, run);
        }
    }

    /// Notes the end of a run.
    pub(super) fn end(
        &mut self,
        now: Moment,
        executor: ExecutorKey,
        run: RunId,
        how: EndKind,
        saved: Option<Arc<str>>,
    ) {
        let noted = self.commit(Command::End {
            run,
            executor,
            kind: how,
            saved,
            at_ms: now.wall_ms,
        });
        if !noted {
            return;
        }
        log::info!(run:%, executor = executor.0, how = how.name(); "run ended");
        if let Some(view) = self.executors.get_mut(&executor)
            && let Some(ended) = view.remove(run)
        {
            self.judge(now, executor, run, &ended, how);
        }
        if let Some(record) = self.state.executor(executor) {
            self.changed.insert(Arc::clone(&record.incarnation.pool));
        }
        self.tell_end(run.task.job);
        self.refresh(now, run.task.job);
        self.stop_unwanted(now, run.task.job);
    }

    /// Logs the end of a job, if the end of a run has brought it.
    fn tell_end(&self, id: JobId) {
        let job = self.state.job(id);
        if let Some(job) = job
            && let Some(ended) = job.ended_ms.filter(|_| job.phase != JobPhase::Cancelled)
        {
            let took_ms = ended.saturating_sub(job.accepted_ms);
            log::info!(job:% = id, end = job.phase.name(), took_ms; "job ended");
        }
    }
}
