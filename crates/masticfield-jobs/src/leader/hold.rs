//! Polls of executors: renewal of leases, and reconciliation of the reported runs.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::crashes::START_WINDOW;
use super::executor::{HoldPhase, RunLocation, RunOrigin, RunPhase, SERVING_PERCENT};
use super::retirement::Retirement;
use super::{Call, CallError, HoldReport, Leader, ListedEnd, Moment, Rejection};
use crate::job::RunId;
use crate::state::{Command, EndKind, ExecutorKey};

/// Time before the next poll of an executor that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time before the next poll of an executor without runs that did not answer, unless it gets tasks once it
/// has answered.
const IDLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum time for which a poll waits for an end while it is uncertain what the executor runs.
const UNCERTAIN_WAIT: Duration = Duration::from_millis(150);

/// Maximum time for which a poll waits while a wave of upkeep goes on and a long-running task is
/// starting. Until it is known to serve, no other task of its step may be stopped.
const STARTING_WAIT: Duration = Duration::from_millis(350);

/// Time after which the location of a run is recorded in the state. Most runs have ended by then.
const LOCATION_DELAY: Duration = Duration::from_secs(1);

/// Time before an order to stop an unknown run is repeated.
const UNKNOWN_RUN_STOP_INTERVAL: Duration = Duration::from_millis(500);

impl Leader {
    /// Polls an executor if a poll is due, unless it is idle and its state is known.
    pub(super) fn hold_if_due(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        let HoldPhase::Due(due) = view.hold else {
            return;
        };
        // An executor that has failed, that a former leader has left behind, whose clock is disputed, or
        // that may carry out calls for former incarnations, is polled until it answers.
        let known = view.failed_holds == 0 && view.clock.is_some() && view.disputed_at.is_none();
        let known = known && view.pending_former_lease.is_none();
        let idle = view.runs.is_empty() && view.unknown_runs.is_empty() && known;
        if idle || now.monotonic < due || view.superseded_at.is_some() {
            return;
        }
        view.hold = HoldPhase::InFlight(now.monotonic);
        let acknowledged = view.acknowledged;
        let uncertain = view
            .runs
            .values()
            .any(|run| !matches!(run.phase, RunPhase::Confirmed(_) | RunPhase::Ordered));
        let answers = view.failed_holds == 0;
        let up_to_date = view.responsive && answers;
        let starting = !self.hosts.upkeep_due.is_empty() && view.is_starting_long_running();
        let in_doubt = view.suspects > 0 || view.quarantine.is_some();
        let wait = match (up_to_date, uncertain) {
            (false, _) => Duration::ZERO,
            (true, _) if in_doubt => START_WINDOW,
            // The report's lists settle uncertain runs, and no end may occur to trigger the answer.
            (true, true) => UNCERTAIN_WAIT,
            (true, false) if starting => STARTING_WAIT,
            (true, false) => {
                let longest = self.options.max_wait.min(self.options.lease / 3);
                view.next_poll_wait(now.monotonic)
                    .map_or(longest, |next| next.min(longest))
            }
        };
        // While calls fail the lease must expire, also on an incarnation with another clock.
        let deadline_ms = if answers {
            self.extend_lease(now, key)
        } else {
            None
        };
        self.call(
            key,
            Call::Hold {
                deadline_ms,
                acknowledged,
                wait,
                sent: now.monotonic,
            },
        );
    }

    pub(super) fn on_hold_result(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        sent: Duration,
        result: Result<HoldReport, CallError>,
    ) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.hold == HoldPhase::InFlight(sent) {
            view.hold = HoldPhase::Due(now.monotonic);
        }
        if result.is_ok() && view.hold == HoldPhase::Due(now.monotonic) {
            view.hold = HoldPhase::Due(now.monotonic + self.poll_interval);
        }
        match result {
            Ok(report) => self.apply_report(now, key, sent, &report),
            Err(CallError::OtherIncarnation) => self.retire(now, key, Retirement::Replaced),
            Err(CallError::Rejected(Rejection::Fence)) => {
                log::info!(executor = key.0; "executor has seen the fence of a later leader");
                view.hold = HoldPhase::Due(now.monotonic + RETRY_DELAY * 5);
            }
            Err(CallError::Unknown | CallError::Rejected(_)) => {
                if view.failed_holds == 0 {
                    log::info!(executor = key.0; "executor does not answer");
                }
                view.failed_holds += 1;
                view.was_silent = true;
                view.responsive = false;
                view.withhold_acknowledgement(self.options.defect);
                let idle = view.runs.is_empty() && view.pending_former_lease.is_none();
                let wait = if idle { IDLE_RETRY_DELAY } else { RETRY_DELAY };
                view.hold = HoldPhase::Due(now.monotonic + wait);
            }
        }
        self.hold_if_due(now, key);
    }

    /// Reconciles the leader's view of an executor with its report.
    fn apply_report(&mut self, now: Moment, key: ExecutorKey, sent: Duration, report: &HoldReport) {
        let Some(record) = self.state.executor(key) else {
            return;
        };
        let started_ms = record.incarnation.started_ms;
        if report
            .started_ms
            .is_some_and(|reported_ms| reported_ms != started_ms)
        {
            return self.supersede(now, key);
        }
        let was_pending = self.end_former_calls(now, key);
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        view.record_reported_clock(now.monotonic, report.clock_ms);
        view.reported_at = now.monotonic;
        if view.failed_holds > 0 {
            log::info!(executor = key.0, failures = view.failed_holds; "executor answers again");
        }
        let first_answer = !view.responsive || was_pending;
        (view.responsive, view.failed_holds) = (true, 0);
        self.lapsed.take(key);
        let (mut begun, mut located) = (Vec::new(), Vec::new());
        for listed in &report.running {
            if let Some(run) = view.runs.get_mut(&listed.run) {
                if run.baseline.is_none() {
                    begun.push(listed.run.task.job);
                }
                run.locate();
                let lasts = now.monotonic > run.placed_at + LOCATION_DELAY;
                if lasts && run.location == RunLocation::This && run.pending_starts == 0 {
                    run.location = RunLocation::Recorded;
                    located.push(listed.run);
                }
                run.percent = listed.percent;
                let serves = listed.percent >= SERVING_PERCENT;
                run.served_at = serves.then_some(now.monotonic);
                run.baseline
                    .get_or_insert((report.clock_ms, listed.percent));
                if matches!(
                    run.phase,
                    RunPhase::Inherited | RunPhase::Ordered | RunPhase::Retry(_)
                ) {
                    // Polls overlap: one that was sent later may have been answered earlier.
                    run.phase = RunPhase::Confirmed(now.monotonic);
                }
            }
        }
        for job in begun {
            self.record_begun(job);
        }
        if !located.is_empty() {
            let (executor, runs) = (key, located);
            self.propose(Command::Located { executor, runs });
        }
        for ended in &report.finished {
            self.log_unknown_end(key, ended);
            self.record_begun(ended.run.task.job);
            let saved = ended.saved.clone();
            self.end_run(now, key, ended.run, ended.kind, saved);
        }
        if let (Some(view), Some(last)) = (self.executors.get_mut(&key), report.finished.last()) {
            view.acknowledged = view.acknowledged.max(last.number);
        }
        self.check_progress(now, key, report.clock_ms);
        self.clear_survivors(key);
        self.settle_missing_runs(now, key, sent, report);
        self.stop_unknown_runs(now, key, report);
        if first_answer && let Some(record) = self.state.executor(key) {
            self.changed_pools
                .insert(Arc::clone(&record.incarnation.pool));
        }
    }

    /// Logs an end that is not recorded although its task is not done: the state does not have the run
    /// any more, or never had it.
    fn log_unknown_end(&self, key: ExecutorKey, ended: &ListedEnd) {
        let run = ended.run;
        let record = self.state.executor(key);
        let known = record.is_some_and(|record| record.runs.contains(&run));
        let Some(job) = self.state.job(run.task.job).filter(|job| job.needs(run)) else {
            return;
        };
        if known || ended.kind != EndKind::Done {
            return;
        }
        let last_run = job.task(run.task).map(|task| task.last_run);
        log::warn!(
            run:%, executor = key.0, number = ended.number, last_run;
            "a run that the state does not have has ended as done"
        );
    }

    /// Settles runs that the executor reports neither as running nor as ended, and stops those
    /// that are no longer needed.
    fn settle_missing_runs(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        sent: Duration,
        report: &HoldReport,
    ) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let listed: HashSet<RunId> = report.running.iter().map(|listed| listed.run).collect();
        // A run may have ended that is in neither list if there are more ends than one report holds.
        let missing = view.runs.iter();
        let missing = missing.filter(|(run, _)| report.has_all_ends() && !listed.contains(run));
        let missing: Vec<_> = missing.map(|(run, view)| (*run, view.phase)).collect();
        for (run, phase) in missing {
            match phase {
                // The former leader's order to start may still arrive. Repeating it settles the run.
                RunPhase::Inherited => self.resume_start(now, key, run),
                RunPhase::Confirmed(since) if since <= sent => {
                    self.end_run(now, key, run, EndKind::Gone, None);
                }
                RunPhase::StopAcknowledged(since) if since < sent => {
                    self.end_run(now, key, run, EndKind::NotRun, None);
                }
                _ => {}
            }
        }
        let unneeded = self
            .executors
            .get(&key)
            .into_iter()
            .flat_map(|view| &view.runs);
        let unneeded = unneeded.filter(|(run, view)| {
            let job = self.state.job(run.task.job);
            let needed = job.is_some_and(|job| job.needs(**run));
            !needed && matches!(view.phase, RunPhase::Confirmed(_))
        });
        let unneeded: Vec<_> = unneeded.map(|(run, _)| *run).collect();
        for run in unneeded {
            self.stop(now, key, run);
        }
    }

    /// Repeats the order to start an inherited run, or stops the run if it is not needed.
    fn resume_start(&mut self, now: Moment, key: ExecutorKey, run: RunId) {
        let job = self.state.job(run.task.job);
        let needed = job.is_some_and(|job| job.needs(run));
        let leaving = self
            .state
            .executor(key)
            .is_some_and(|record| record.leaving);
        let view = self.run_mut(key, run);
        let reassigned = view.is_some_and(|view| view.origin == RunOrigin::Reassigned);
        if needed && !leaving && !reassigned {
            if let Some(view) = self.run_mut(key, run) {
                view.phase = RunPhase::Retry(now.monotonic);
            }
            self.retry_orders(now, key);
        } else {
            self.stop(now, key, run);
        }
    }

    /// Stops runs on an executor that the state does not have.
    fn stop_unknown_runs(&mut self, now: Moment, key: ExecutorKey, report: &HoldReport) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        let running = report.running.iter().map(|listed| listed.run);
        let unknown: Vec<_> = running.filter(|run| !view.runs.contains_key(run)).collect();
        view.unknown_runs.retain(|run, _| unknown.contains(run));
        let mut stop = Vec::new();
        for run in unknown {
            let last_stop = view.unknown_runs.get(&run).copied();
            if last_stop
                .is_none_or(|last_stop| now.monotonic >= last_stop + UNKNOWN_RUN_STOP_INTERVAL)
            {
                view.unknown_runs.insert(run, now.monotonic);
                stop.push(run);
            }
        }
        for run in stop {
            log::info!(run:%, executor = key.0; "stopping a run that the state does not have");
            self.call(key, Call::Stop { run });
        }
    }
}
