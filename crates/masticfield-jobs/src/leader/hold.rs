//! Leases, and what executors tell of their runs.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::executor::{HoldPhase, RunPhase};
use super::{Call, CallError, HoldReport, Leader, Moment, Rejection};
use crate::job::RunId;
use crate::state::{EndKind, ExecutorKey};

/// Time before an executor is asked again that did not answer.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// The same for one on which nothing runs.
const ASK_IDLE_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// Longest wait for an end while it is in doubt what an executor runs.
const DOUBT_WAIT: Duration = Duration::from_millis(150);

/// Time before an order to stop an unknown run is repeated.
const STRAY_AGAIN_AFTER: Duration = Duration::from_millis(500);

impl Leader {
    /// Asks an executor what runs, if something does and it is not being asked.
    pub(super) fn hold_if_due(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        let HoldPhase::Due(due) = view.hold else {
            return;
        };
        // One that has failed, or that a former leader knew, is asked until it answers, so that it
        // can be used.
        let known = view.failures == 0 && view.clock.is_some();
        let idle = view.runs.is_empty() && view.strays.is_empty() && known;
        if idle || now.monotonic < due {
            return;
        }
        view.hold = HoldPhase::Asked(now.monotonic);
        let noted = view.noted;
        let doubtful = view
            .runs
            .values()
            .any(|run| !matches!(run.phase, RunPhase::There(_) | RunPhase::Ordered));
        let settled = view.heard && view.failures == 0;
        let wait = match (settled, doubtful) {
            (false, _) => Duration::ZERO,
            // What is in doubt shows in the lists, and not as an end.
            (true, true) => DOUBT_WAIT,
            (true, false) => {
                let longest = self.options.max_wait.min(self.options.lease / 3);
                view.next_look(now.monotonic)
                    .map_or(longest, |next| next.min(longest))
            }
        };
        let deadline_ms = self.extend_lease(now, key);
        self.call(
            key,
            Call::Hold {
                deadline_ms,
                acknowledged: noted,
                wait,
                sent: now.monotonic,
            },
        );
    }

    pub(super) fn on_held(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        sent: Duration,
        result: Result<HoldReport, CallError>,
    ) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.hold == HoldPhase::Asked(sent) {
            view.hold = HoldPhase::Due(now.monotonic);
        }
        if result.is_ok() && view.hold == HoldPhase::Due(now.monotonic) {
            view.hold = HoldPhase::Due(now.monotonic + self.poll_interval);
        }
        match result {
            Ok(report) => self.reconcile(now, key, sent, &report),
            Err(CallError::OtherIncarnation) => self.retire(now, key, "another life answers"),
            Err(CallError::Rejected(Rejection::Fence)) => {
                log::info!(executor = key.0; "a later leader's fence was seen");
                view.hold = HoldPhase::Due(now.monotonic + ASK_AGAIN_AFTER * 5);
            }
            Err(CallError::Unknown | CallError::Rejected(_)) => {
                if view.failures == 0 {
                    log::info!(executor = key.0; "executor does not answer");
                }
                view.failures += 1;
                view.heard = false;
                let idle = view.runs.is_empty();
                let wait = if idle {
                    ASK_IDLE_AGAIN_AFTER
                } else {
                    ASK_AGAIN_AFTER
                };
                view.hold = HoldPhase::Due(now.monotonic + wait);
            }
        }
        self.hold_if_due(now, key);
    }

    fn reconcile(&mut self, now: Moment, key: ExecutorKey, sent: Duration, report: &HoldReport) {
        let Some(record) = self.state.executor(key) else {
            return;
        };
        let born_ms = record.incarnation.started_ms;
        if report.started_ms.is_some_and(|born| born != born_ms) {
            return self.retire(now, key, "reborn");
        }
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        view.hear(now.monotonic, report.clock_ms);
        if view.failures > 0 {
            log::info!(executor = key.0, failures = view.failures; "executor answers again");
        }
        let first = !view.heard;
        (view.heard, view.failures) = (true, 0);
        for listed in &report.running {
            if let Some(run) = view.runs.get_mut(&listed.run) {
                run.percent = listed.percent;
                run.began.get_or_insert((report.clock_ms, listed.percent));
                if matches!(run.phase, RunPhase::Inherited | RunPhase::Ordered) {
                    run.phase = RunPhase::There(sent);
                }
            }
        }
        for ended in &report.finished {
            let saved = ended.saved.clone();
            self.end(now, key, ended.run, ended.kind, saved);
        }
        if let (Some(view), Some(last)) = (self.executors.get_mut(&key), report.finished.last()) {
            view.noted = view.noted.max(last.number);
        }
        self.check_headway(now, key, report.clock_ms);
        self.settle_missing(now, key, sent, report);
        self.stop_strays(now, key, report);
        if first && let Some(record) = self.state.executor(key) {
            self.changed.insert(Arc::clone(&record.incarnation.pool));
        }
    }

    /// Decides about runs that the executor lists neither as running nor as ended.
    fn settle_missing(
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
        let missing = view.runs.iter().filter(|(run, _)| !listed.contains(run));
        let missing: Vec<_> = missing.map(|(run, view)| (*run, view.phase)).collect();
        for (run, phase) in missing {
            match phase {
                // The order may be on its way; the same one again settles it.
                RunPhase::Inherited => self.resume(now, key, run),
                RunPhase::There(since) if since < sent => {
                    self.end(now, key, run, EndKind::Gone, None);
                }
                RunPhase::StopTaken(since) if since < sent => {
                    self.end(now, key, run, EndKind::NotRun, None);
                }
                _ => {}
            }
        }
        let unwanted = self
            .executors
            .get(&key)
            .into_iter()
            .flat_map(|view| &view.runs);
        let unwanted = unwanted.filter(|(run, view)| {
            let job = self.state.job(run.task.job);
            let wanted = job.is_some_and(|job| job.needs(**run));
            !wanted && matches!(view.phase, RunPhase::There(_))
        });
        let unwanted: Vec<_> = unwanted.map(|(run, _)| *run).collect();
        for run in unwanted {
            self.stop(now, key, run);
        }
    }

    fn resume(&mut self, now: Moment, key: ExecutorKey, run: RunId) {
        let job = self.state.job(run.task.job);
        let wanted = job.is_some_and(|job| job.needs(run));
        let leaving = self
            .state
            .executor(key)
            .is_some_and(|record| record.leaving);
        if wanted && !leaving {
            if let Some(view) = self.run_mut(key, run) {
                view.phase = RunPhase::Again(now.monotonic);
            }
            self.repeat_orders(now, key);
        } else {
            self.stop(now, key, run);
        }
    }

    /// Stops what runs there without being known.
    fn stop_strays(&mut self, now: Moment, key: ExecutorKey, report: &HoldReport) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        let running = report.running.iter().map(|listed| listed.run);
        let strays: Vec<_> = running.filter(|run| !view.runs.contains_key(run)).collect();
        view.strays.retain(|run, _| strays.contains(run));
        let mut stop = Vec::new();
        for run in strays {
            let told = view.strays.get(&run).copied();
            if told.is_none_or(|told| now.monotonic >= told + STRAY_AGAIN_AFTER) {
                view.strays.insert(run, now.monotonic);
                stop.push(run);
            }
        }
        for run in stop {
            log::info!(run:%, executor = key.0; "an unknown run is stopped");
            self.call(key, Call::Stop { run });
        }
    }
}
