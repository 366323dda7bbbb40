//! Waves of upkeep: when each host is drained.

use std::sync::Arc;
use std::time::Duration;

use super::executor::RunPhase;
use super::host::OperationPhase;
use super::{Defect, Leader, Moment};
use crate::job::RunId;
use crate::schedule::{hosts_at_once, is_urgent, may_interrupt};
use crate::state::{ExecutorKey, HostClaim, Wave};

/// Time before the end of a wave from which on its remaining hosts are not moved to other pools. A
/// move takes as long as an upkeep, and the host may get tasks again.
const LAST_MOVES: Duration = Duration::from_secs(8);

impl Leader {
    /// Starts draining further hosts of each wave that is not complete.
    pub(super) fn check_waves(&mut self, now: Moment) {
        let waves = self
            .state
            .waves()
            .values()
            .filter(|wave| !wave.remaining.is_empty());
        let waves: Vec<Wave> = waves.cloned().collect();
        let due = waves.iter().flat_map(|wave| &wave.remaining);
        let due = due.filter_map(|name| self.executor_of(self.hosts.views.get(name)?));
        self.hosts.upkeep_due = due.collect();
        let ending = waves
            .iter()
            .filter(|wave| time_left(now, wave) < LAST_MOVES);
        let kept = ending.flat_map(|wave| wave.remaining.iter().cloned());
        self.hosts.kept_for_upkeep = kept.collect();
        for wave in waves {
            self.check_wave(now, &wave);
        }
    }

    /// Starts draining as many hosts of a wave as its pace and its cap allow: first those that would
    /// otherwise be late, then the least loaded.
    fn check_wave(&mut self, now: Moment, wave: &Wave) {
        let Some(options) = self.options.hosts else {
            return;
        };
        let time_left = time_left(now, wave);
        let cap = wave.order.cap;
        let claim = HostClaim::Upkeep {
            wave: wave.order.number,
        };
        let (mut draining, mut away) = (0, 0);
        for host in self.hosts.views.values() {
            let operation = host.operation.as_ref();
            if operation.is_some_and(|operation| operation.claim == claim) {
                draining += 1;
            } else if host.upkeep_wave == Some(wave.order.number) && host.is_away(now.monotonic) {
                away += 1;
            }
        }
        let unfinished = wave.remaining.len() + away;
        let at_once = hosts_at_once(unfinished, time_left, options.upkeep_time, cap);
        let free = at_once.saturating_sub(draining + away);
        let mut waiting: Vec<_> = wave
            .remaining
            .iter()
            .filter(|name| {
                let host = self.hosts.views.get(*name);
                host.is_some_and(|host| host.is_available(now.monotonic))
            })
            .map(|name| {
                let urgent = is_urgent(self.drain_turns(name), time_left, options.upkeep_time);
                (!urgent, self.host_load(name), Arc::clone(name))
            })
            .collect();
        waiting.sort_unstable();
        for (.., name) in waiting.into_iter().take(free) {
            self.begin_operation(now, &name, claim.clone());
        }
    }

    /// Returns how many long-running tasks of a host have to be stopped one after the other, as only
    /// `may_miss` tasks of a step may be away at the same time.
    fn drain_turns(&self, name: &Arc<str>) -> u32 {
        let host = self.hosts.views.get(name);
        let Some(view) = host.and_then(|host| self.executor_view(host)) else {
            return 0;
        };
        // Runs are sorted by their tasks, so that those of a step are neighbours.
        let runs: Vec<_> = view
            .runs
            .iter()
            .filter(|(_, run)| run.long_running)
            .collect();
        let step = |run: &RunId| (run.task.job, run.task.occurrence, run.task.step);
        let steps = runs.chunk_by(|(a, _), (b, _)| step(a) == step(b));
        let turns = steps.map(|runs| {
            let (run, _) = runs[0];
            let job = self.state.job(run.task.job);
            let spec = job.and_then(|job| job.spec.as_ref());
            let step = spec.and_then(|spec| spec.steps.get(usize::from(run.task.step)));
            let at_once = step.map_or(1, |step| step.may_miss.max(1));
            u32::try_from(runs.len())
                .unwrap_or(u32::MAX)
                .div_ceil(at_once)
        });
        turns.max().unwrap_or_default()
    }

    /// Returns the number of long-running tasks on a host, and the reserved processor time in
    /// thousandths of a core.
    pub(super) fn host_load(&self, name: &Arc<str>) -> (usize, u64) {
        let host = self.hosts.views.get(name);
        let view = host.and_then(|host| self.executor_view(host));
        view.map_or((0, 0), |view| {
            let long_running = view.runs.values().filter(|run| run.long_running).count();
            (long_running, view.used.cpu_milli)
        })
    }

    /// Returns whether the operation of a host may be requested without exceeding its wave's cap;
    /// always true for moves.
    pub(super) fn is_within_wave_cap(&self, now: Moment, name: &Arc<str>) -> bool {
        let host = self.hosts.views.get(name);
        let operation = host.and_then(|host| host.operation.as_ref());
        let Some(HostClaim::Upkeep { wave }) = operation.map(|operation| &operation.claim) else {
            return true;
        };
        let cap = self
            .state
            .waves()
            .get(wave)
            .map_or(0, |wave| wave.order.cap as usize);
        let away = self.hosts.views.values().filter(|host| {
            let ordered = host.operation.as_ref().is_some_and(|operation| {
                matches!(
                    operation.phase,
                    OperationPhase::Ordered(_) | OperationPhase::Retry(_)
                ) && matches!(&operation.claim, HostClaim::Upkeep { wave: other } if other == wave)
            });
            ordered || (host.upkeep_wave == Some(*wave) && host.is_away(now.monotonic))
        });
        away.count() < cap
    }

    /// Stops the long-running tasks on an executor as far as their steps allow, and returns whether
    /// the executor is drained.
    ///
    /// With `ignore_finite`, the executor counts as drained while finite tasks still run.
    pub(super) fn drain(&mut self, now: Moment, key: ExecutorKey, ignore_finite: bool) -> bool {
        let Some(view) = self.executors.get(&key) else {
            return true;
        };
        let long_running: Vec<_> = view
            .runs
            .iter()
            .filter(|(_, run)| run.long_running)
            .map(|(run, view)| (*run, view.phase))
            .collect();
        if long_running.is_empty() {
            return ignore_finite || view.runs.is_empty();
        }
        for (run, phase) in long_running {
            if matches!(phase, RunPhase::Confirmed(_)) && self.may_stop(now, run) {
                self.stop(now, key, run);
            }
        }
        false
    }

    /// Returns whether a run may be stopped, as far as its step's `may_miss` (at least 1) is
    /// concerned; always true for a finite task and for a job that has ended.
    ///
    /// Holds for every order that may end a run of a task that is still needed, also if it is not
    /// known whether the run has started.
    pub(super) fn may_stop(&self, now: Moment, run: RunId) -> bool {
        let task = run.task;
        let job = self.state.job(task.job).filter(|job| job.needs(run));
        let spec = job.and_then(|job| job.spec.as_ref());
        let step = spec.and_then(|spec| spec.steps.get(usize::from(task.step)));
        let (Some(job), Some(step)) = (job, step.filter(|step| step.long_running)) else {
            return true;
        };
        if self.options.defect == Some(Defect::StopWithoutCount) {
            return true;
        }
        let tasks = &job.occurrences[task.occurrence as usize].steps[usize::from(task.step)].tasks;
        let others = tasks
            .iter()
            .zip(0..)
            .filter(|(_, index)| *index != task.index);
        let last_served = others.map(|(other, index)| {
            let other_id = crate::job::TaskId { index, ..task };
            let runs = other.runs.iter();
            let served = runs.filter_map(|(number, executor)| {
                self.last_served(*executor, other_id.run(*number))
            });
            served.max()
        });
        may_interrupt(now.monotonic, last_served, step.may_miss)
    }

    /// Returns when a run was last known to serve; `None` if it is not known to serve now.
    fn last_served(&self, executor: ExecutorKey, run: RunId) -> Option<Duration> {
        let view = self.executors.get(&executor);
        let view = view.filter(|view| view.failed_holds == 0 && view.left_at.is_none())?;
        let run = view.runs.get(&run)?;
        run.served_at
            .filter(|_| matches!(run.phase, RunPhase::Confirmed(_)))
    }
}

/// Returns the time until the end of a wave; zero once it is over.
fn time_left(now: Moment, wave: &Wave) -> Duration {
    let elapsed = now.wall_ms.saturating_sub(wave.started_ms);
    Duration::from_millis(wave.order.duration_ms.saturating_sub(elapsed))
}
