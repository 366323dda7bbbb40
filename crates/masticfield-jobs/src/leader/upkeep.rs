//! Waves of upkeep: which hosts are emptied when.

use std::sync::Arc;
use std::time::Duration;

use super::executor::{RunPhase, SERVING_PERCENT};
use super::host::OperationPhase;
use super::{Leader, Moment};
use crate::job::RunId;
use crate::schedule::hosts_at_once;
use crate::state::{ExecutorKey, HostClaim, Wave};

impl Leader {
    /// Begins the upkeep of further hosts where it is their turn.
    pub(super) fn check_waves(&mut self, now: Moment) {
        let waves = self
            .state
            .waves()
            .values()
            .filter(|wave| !wave.remaining.is_empty());
        let waves: Vec<Wave> = waves.cloned().collect();
        for wave in waves {
            self.check_wave(now, &wave);
        }
    }

    fn check_wave(&mut self, now: Moment, wave: &Wave) {
        let Some(options) = self.options.hosts else {
            return;
        };
        let passed = now.wall_ms.saturating_sub(wave.started_ms);
        let time_left = Duration::from_millis(wave.order.duration_ms.saturating_sub(passed));
        let cap = wave.order.cap;
        let at_once = hosts_at_once(wave.remaining.len(), time_left, options.upkeep_time, cap);
        let claim = HostClaim::Upkeep {
            wave: wave.order.number,
        };
        let hosts = self.hosts.views.values();
        let busy = hosts.filter(|host| {
            let operation = host.operation.as_ref();
            operation.is_some_and(|operation| operation.claim == claim)
                || (host.upkeep_wave == Some(wave.order.number) && host.is_away(now.monotonic))
        });
        let free = at_once.saturating_sub(busy.count());
        let mut waiting: Vec<_> = wave
            .remaining
            .iter()
            .filter(|name| {
                let host = self.hosts.views.get(*name);
                host.is_some_and(|host| host.is_available(now.monotonic))
            })
            .map(|name| (self.host_load(name), Arc::clone(name)))
            .collect();
        waiting.sort_unstable();
        for (_, name) in waiting.into_iter().take(free) {
            self.begin_operation(now, &name, claim.clone());
        }
    }

    /// Lasting tasks on a host, and the processor time reserved there.
    pub(super) fn host_load(&self, name: &Arc<str>) -> (usize, u64) {
        let host = self.hosts.views.get(name);
        let view = host.and_then(|host| self.executor_view(host));
        view.map_or((0, 0), |view| {
            let lasting = view.runs.values().filter(|run| run.long_running).count();
            (lasting, view.used.cpu_milli)
        })
    }

    /// Whether the platform may be asked now: no more hosts of a wave are away than allowed.
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

    /// Empties an executor; says whether it is empty, or empty enough if it is `hurried`.
    pub(super) fn drain(&mut self, now: Moment, key: ExecutorKey, ignore_finite: bool) -> bool {
        let Some(view) = self.executors.get(&key) else {
            return true;
        };
        let lasting: Vec<_> = view
            .runs
            .iter()
            .filter(|(_, run)| run.long_running)
            .map(|(run, view)| (*run, view.phase))
            .collect();
        if lasting.is_empty() {
            return ignore_finite || view.runs.is_empty();
        }
        for (run, phase) in lasting {
            if matches!(phase, RunPhase::Confirmed(_)) && self.may_stop(run) {
                self.stop(now, key, run);
            }
        }
        false
    }

    /// Whether a lasting task may be stopped: few enough others of its step are away.
    fn may_stop(&self, run: RunId) -> bool {
        let task = run.task;
        let Some(job) = self.state.job(task.job) else {
            return true;
        };
        let Some(spec) = job.spec.as_ref() else {
            return true;
        };
        let step = &spec.steps[usize::from(task.step)];
        let tasks = &job.occurrences[task.occurrence as usize].steps[usize::from(task.step)].tasks;
        let others = tasks
            .iter()
            .zip(0..)
            .filter(|(_, index)| *index != task.index);
        let away = others.filter(|(other, index)| {
            let id = crate::job::TaskId {
                index: *index,
                ..task
            };
            let mut runs = other.runs.iter();
            !runs.any(|(number, executor)| self.is_serving(*executor, id.run(*number)))
        });
        let away = u32::try_from(away.count()).unwrap_or(u32::MAX);
        away < step.may_miss.max(1)
    }

    fn is_serving(&self, executor: ExecutorKey, run: RunId) -> bool {
        let view = self.executors.get(&executor);
        let Some(view) = view.filter(|view| view.failed_calls == 0) else {
            return false;
        };
        let run = view.runs.get(&run);
        run.is_some_and(|run| {
            matches!(run.phase, RunPhase::Confirmed(_)) && run.percent >= SERVING_PERCENT
        })
    }
}
