//! Waves of upkeep: when each host is drained.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::executor::RunPhase;
use super::host::OperationPhase;
use super::{Defect, Leader, Moment};
use crate::job::{JobId, RunId};
use crate::schedule::{hosts_at_once, is_urgent, may_interrupt};
use crate::state::{ExecutorKey, HostClaim, Wave};

/// Time before the end of a wave from which on its remaining hosts are not moved to other pools. A
/// move takes as long as an upkeep, and the host may get tasks again.
const LAST_MOVES: Duration = Duration::from_secs(8);

/// Number of hosts that drain for each turn of a long-running step, so that the next one is ready.
const DRAINING_PER_TURN: u32 = 2;

/// Job, occurrence and step of long-running tasks.
type StepKey = (JobId, u32, u16);

/// A long-running step on the hosts of a wave.
#[derive(Debug, Clone, Copy, Default)]
struct DrainedStep {
    /// Number of its tasks that may be away at the same time.
    at_once: u32,
    /// Number of hosts with its tasks whose upkeep has not begun.
    hosts: u32,
    /// Number of these hosts that are draining.
    draining: u32,
}

impl DrainedStep {
    /// Returns how many times its tasks have to be stopped one after the other.
    fn turns(self) -> u32 {
        self.hosts.div_ceil(self.at_once.max(1))
    }

    fn has_enough_draining(self) -> bool {
        self.draining >= DRAINING_PER_TURN.saturating_mul(self.at_once)
    }
}

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
        let mut steps = self.long_running_steps(wave);
        let mut waiting: Vec<_> = wave
            .remaining
            .iter()
            .filter(|name| {
                let host = self.hosts.views.get(*name);
                host.is_some_and(|host| host.is_available(now.monotonic))
            })
            .map(|name| {
                let turns = self.steps_on(name).map(|step| steps[&step].turns());
                let turns = turns.max().unwrap_or_default();
                let urgent = is_urgent(turns, time_left, options.upkeep_time);
                (!urgent, self.host_load(name), Arc::clone(name))
            })
            .collect();
        waiting.sort_unstable();
        let mut free = free;
        for (.., name) in waiting {
            if free == 0 {
                break;
            }
            // A host whose turn is far away keeps its finite tasks meanwhile.
            if self
                .steps_on(&name)
                .any(|step| steps[&step].has_enough_draining())
            {
                continue;
            }
            for step in self.steps_on(&name) {
                steps.entry(step).or_default().draining += 1;
            }
            free -= 1;
            self.begin_operation(now, &name, claim.clone());
        }
    }

    /// Returns the long-running steps on the hosts of a wave whose upkeep has not begun.
    fn long_running_steps(&self, wave: &Wave) -> BTreeMap<StepKey, DrainedStep> {
        let mut steps: BTreeMap<StepKey, DrainedStep> = BTreeMap::new();
        for name in &wave.remaining {
            let host = self.hosts.views.get(name);
            let draining = host.is_some_and(|host| host.operation.is_some());
            for (job, occurrence, step) in self.steps_on(name) {
                let record = self.state.job(job);
                let spec = record.and_then(|job| job.spec.as_ref());
                let spec = spec.and_then(|spec| spec.steps.get(usize::from(step)));
                let drained = steps.entry((job, occurrence, step)).or_default();
                drained.at_once = spec.map_or(1, |spec| spec.may_miss.max(1));
                drained.hosts += 1;
                drained.draining += u32::from(draining);
            }
        }
        steps
    }

    /// Returns the steps with long-running tasks on a host.
    fn steps_on(&self, name: &Arc<str>) -> impl Iterator<Item = StepKey> {
        let host = self.hosts.views.get(name);
        let view = host.and_then(|host| self.executor_view(host));
        let runs = view.into_iter().flat_map(|view| &view.runs);
        let steps = runs
            .filter(|(_, run)| run.long_running)
            .map(|(run, _)| (run.task.job, run.task.occurrence, run.task.step));
        steps.collect::<BTreeSet<_>>().into_iter()
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
    /// known whether the run has started, unless its executor answers and has never listed it.
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
        let view = view.filter(|view| view.failed_holds == 0 && view.departure.is_none())?;
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
