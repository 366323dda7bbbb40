//! Executors: their calls, their time and their ends.

use std::sync::Arc;

use masticfield_jobs::job::{Resources, RunId};
use masticfield_jobs::leader::{Announcement, Call, CallError, Event};
use masticfield_jobs::state::{ExecutorIncarnation, ExecutorKey};
use rand::RngExt;

use super::{
    ANNOUNCE_MS, CALL_TIMEOUT_MS, EPOCH_MS, Happening, Simulation, TRIP_MS, WaitingHold, unanswered,
};
use crate::executor::{Conduct, Executor, Running};
use crate::fleet::whole;

/// Time after which a run ends on an executor that fails all that it starts, in milliseconds.
const FAILS_AFTER_MS: u64 = 40;

impl Simulation {
    /// Starts an executor on a host.
    pub(super) fn boot(&mut self, host: usize) {
        let index = self.executors.len();
        let slow = 1.0 - self.day.faults.max_clock_drift * self.rng.random::<f64>();
        let life = ExecutorIncarnation {
            id: format!("executor-{index}").into(),
            started_ms: EPOCH_MS + self.now,
            pool: Arc::clone(&self.hosts[host].pool),
            address: format!("127.0.0.1:{index}").into(),
            zone: "zone".into(),
            labels: vec!["kind".into()],
            rack: None,
            capacity: Resources {
                cpu_milli: self.day.fleet.host_cpu_milli,
                memory_mb: self.day.fleet.host_memory_mb,
                gpus: 0,
            },
        };
        self.executors
            .push(Executor::new(life, host, self.now, slow));
        self.hosts[host].executor = Some(index);
        if &*self.hosts[host].pool != "standby" {
            let after = self.rng.random_range(1..ANNOUNCE_MS / 10);
            self.later(after, Happening::Announce(index));
        }
    }

    /// Sends a call to an executor, over a network that may lose it or its answer.
    pub(super) fn send(&mut self, key: ExecutorKey, id: &Arc<str>, call: Call) {
        let executor = self
            .executors
            .iter()
            .position(|executor| executor.life.id == *id);
        let Some(executor) = executor else {
            return;
        };
        let faults = self.day.faults;
        let is_hold = matches!(call, Call::Hold { .. });
        let late = !is_hold && self.rng.random_bool(faults.delayed_orders);
        let lost = self.rng.random_bool(faults.lost_answers);
        let after = if late {
            self.rng.random_range(2_000..12_000)
        } else {
            TRIP_MS
        };
        let epoch = self.epoch;
        if late || lost {
            let event = unanswered(key, &call);
            self.later(CALL_TIMEOUT_MS, Happening::Tell(epoch, event));
        }
        self.later(
            after,
            Happening::Arrive {
                epoch,
                executor,
                key,
                call,
                late,
                answers: !late && !lost,
            },
        );
    }

    pub(super) fn arrive(
        &mut self,
        epoch: u64,
        index: usize,
        key: ExecutorKey,
        call: &Call,
        late: bool,
        answers: bool,
    ) {
        let now = self.now;
        let executor = &self.executors[index];
        if !executor.up || executor.cut_until > now {
            if answers {
                let event = unanswered(key, call);
                self.later(CALL_TIMEOUT_MS, Happening::Tell(epoch, event));
            }
            return;
        }
        self.advance(index);
        let fence = epoch;
        let event = match call {
            Call::Start {
                run, deadline_ms, ..
            } => {
                let begin = self.running_of(index, *run);
                let executor = &mut self.executors[index];
                let started = executor.start(now, fence, *deadline_ms, *run, begin);
                if started == Ok(true) {
                    self.note_start(index, *run, late, begin);
                }
                let clock = self.executors[index].clock(now);
                Event::StartResult {
                    executor: key,
                    run: *run,
                    result: started.map(|_| clock).map_err(CallError::Rejected),
                }
            }
            Call::Stop { run } => {
                let there = self.executors[index].running.contains_key(run);
                let stopped = self.executors[index].stop(now, fence, *run);
                if stopped.is_ok() {
                    let sound = there && self.wants(*run);
                    if sound {
                        self.ledger.ends_by_order(now, *run);
                    }
                    self.ledger.over(now, index, *run);
                }
                let clock = self.executors[index].clock(now);
                self.wake_hold(index);
                Event::StopResult {
                    executor: key,
                    run: *run,
                    result: stopped.map(|()| clock).map_err(CallError::Rejected),
                }
            }
            Call::Hold {
                deadline_ms,
                acknowledged: noted,
                wait,
                sent,
            } => {
                self.report.polls += 1;
                let held = self.executors[index].hold(now, fence, *deadline_ms, *noted);
                if held.is_ok() && !self.executors[index].has_ends_after(*noted) && !wait.is_zero()
                {
                    let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                    let waiting = WaitingHold {
                        epoch,
                        key,
                        sent: *sent,
                        noted: *noted,
                        until: now + wait,
                        fence,
                    };
                    self.waiting.insert(index, waiting);
                    return self.later(wait, Happening::HoldOver(index));
                }
                Event::HoldResult {
                    executor: key,
                    sent: *sent,
                    result: held.map_err(CallError::Rejected),
                }
            }
        };
        if answers {
            self.later(TRIP_MS, Happening::Tell(epoch, event));
        }
    }

    pub(super) fn running_of(&mut self, index: usize, run: RunId) -> Running {
        let conduct = self.executors[index].conduct;
        let sent = self.ledger.sent.get(&run.task.job);
        let step = sent.and_then(|sent| sent.spec.steps.get(usize::from(run.task.step)));
        let factor = 0.85 + 0.3 * self.rng.random::<f64>();
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a task")]
        let time = step.map_or(0, |step| whole(step.estimate_ms as f64 * factor));
        let lasting = step.is_some_and(|step| step.long_running);
        let fails = self.rng.random_bool(self.day.faults.failing_runs);
        let need = step.map(masticfield_jobs::job::StepSpec::reserved);
        let ends = if conduct == Conduct::Fails {
            Some(self.now + FAILS_AFTER_MS)
        } else {
            (!lasting).then_some(self.now + time * conduct.factor())
        };
        Running {
            need: need.unwrap_or_default(),
            began: self.now,
            ends,
            fails: fails || conduct == Conduct::Fails,
        }
    }

    pub(super) fn note_start(&mut self, index: usize, run: RunId, late: bool, begin: Running) {
        self.report.starts += 1;
        // Other executors may have ended the task's runs by their own clocks meanwhile.
        let elsewhere = self.ledger.running.get(&run.task).into_iter().flatten();
        let elsewhere: Vec<_> = elsewhere.map(|(executor, _)| *executor).collect();
        for executor in elsewhere.into_iter().filter(|executor| *executor != index) {
            self.advance(executor);
        }
        let job = self.state.job(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        // Only ends that were noted count; an executor may be lost with others.
        let noted = task.map_or((false, 0), |task| (task.done, task.failures));
        self.ledger.start(self.now, index, run, late, noted);
        let executor = &self.executors[index];
        if !executor.life.capacity.covers(executor.used()) {
            self.ledger.over_room += 1;
            let used = executor.used();
            let text = format!(
                "{}: {run} takes executor {index} over its room: {used:?}",
                self.now
            );
            self.ledger.broken.push(text);
        }
        if let Some(ends) = begin.ends {
            self.later(ends - self.now, Happening::Advance(index));
        }
    }

    /// Lets an executor's time pass.
    pub(super) fn advance(&mut self, index: usize) {
        let before: Vec<_> = self.executors[index].running.keys().copied().collect();
        let done = self.executors[index].advance(self.now);
        for run in before {
            if !self.executors[index].running.contains_key(&run) {
                self.ledger.over(self.now, index, run);
            }
        }
        if self.executors[index].up {
            self.ledger
                .done
                .extend(done.into_iter().map(|run| run.task));
        }
        self.wake_hold(index);
    }

    pub(super) fn wake_hold(&mut self, index: usize) {
        let noted = self.waiting.get(&index).map(|hold| hold.noted);
        if noted.is_some_and(|noted| self.executors[index].has_ends_after(noted)) {
            self.answer_hold(index);
        }
    }

    pub(super) fn answer_hold(&mut self, index: usize) {
        let Some(hold) = self.waiting.remove(&index) else {
            return;
        };
        let executor = &mut self.executors[index];
        let reachable = executor.up && executor.cut_until <= self.now;
        let result = if reachable {
            executor
                .hold(self.now, hold.fence, None, hold.noted)
                .map_err(CallError::Rejected)
        } else {
            Err(CallError::Unknown)
        };
        let event = Event::HoldResult {
            executor: hold.key,
            sent: hold.sent,
            result,
        };
        self.later(TRIP_MS, Happening::Tell(hold.epoch, event));
    }

    pub(super) fn announce(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        if !executor.up {
            return;
        }
        executor.sequence += 1;
        let announcement = Announcement {
            incarnation: executor.life.clone(),
            sequence: executor.sequence,
            clock_ms: executor.clock(self.now),
            leaving: false,
        };
        let reachable = executor.cut_until <= self.now;
        self.advance(index);
        self.later(ANNOUNCE_MS, Happening::Announce(index));
        if reachable {
            let ask = self.next_ask();
            let event = Event::Announced {
                reply_to: ask,
                announcement,
            };
            self.tell(self.epoch, event);
        }
    }

    /// Some executors turn bad.
    pub(super) fn spoil(&mut self) {
        let faults = self.day.faults;
        for executor in &mut self.executors {
            let draw: f64 = self.rng.random();
            if draw < faults.failing_executors {
                executor.behave(self.now, Conduct::Fails);
            } else if draw < faults.failing_executors + faults.slow_executors {
                executor.behave(self.now, Conduct::Slow(faults.slowdown));
            }
        }
        self.wake_runs();
    }

    /// All executors are sound again.
    pub(super) fn mend(&mut self) {
        for executor in &mut self.executors {
            executor.behave(self.now, Conduct::Sound);
        }
        self.wake_runs();
    }

    /// Looks at each run when it ends now.
    fn wake_runs(&mut self) {
        let ends: Vec<_> = (0..)
            .zip(&self.executors)
            .flat_map(|(index, executor)| {
                let runs = executor.running.values();
                runs.filter_map(move |run| Some((index, run.ends?)))
            })
            .collect();
        for (index, ends) in ends {
            self.later(ends - self.now, Happening::Advance(index));
        }
    }

    /// An executor ends; its host starts another one soon.
    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.executors.len());
        let host = self.executors[index].host;
        if !self.executors[index].up || self.hosts[host].executor != Some(index) {
            return;
        }
        self.end_executor(index);
        let after = self.rng.random_range(1_000..5_000);
        self.later(after, Happening::HostBack(host));
    }

    pub(super) fn end_executor(&mut self, index: usize) {
        let runs: Vec<_> = self.executors[index].running.keys().copied().collect();
        for run in runs {
            self.ledger.over(self.now, index, run);
        }
        let host = self.executors[index].host;
        self.executors[index].running.clear();
        self.executors[index].up = false;
        self.hosts[host].executor = None;
        if self.waiting.contains_key(&index) {
            self.answer_hold(index);
        }
    }
}
