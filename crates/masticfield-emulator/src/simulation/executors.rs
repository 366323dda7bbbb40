//! Executors: their starts and ends, the calls to them, and the progress of their runs.

use std::sync::Arc;

use masticfield_jobs::job::RunId;
use masticfield_jobs::leader::{Announcement, Call, CallError, Defect, Departure, Event};
use masticfield_jobs::relay::{CallResult, CallTag, ExecutorCall};
use masticfield_jobs::state::{EndKind, ExecutorIncarnation, ExecutorKey};
use rand::RngExt;

use super::relays::CallAtRelay;
use super::{
    ANNOUNCE_INTERVAL_MS, CALL_TIMEOUT_MS, CAPACITY_GRACE_MS, CRASH_DELAY_MS, CRASH_RETURN_MS,
    NETWORK_DELAY_MS, PendingHold, START_WALL_MS, ScheduledEvent, Simulation,
};
use crate::checker::OUTAGE_GRACE_MS;
use crate::executor::{ActiveRun, Executor, Health};
use crate::fleet::round_to_u64;

/// Time after which a run fails on an executor that fails every run, in milliseconds.
const FAILED_RUN_MS: u64 = 40;

/// Time until a crashed executor is back that keeps its identifier, in milliseconds.
const REBORN_MS: std::ops::Range<u64> = 20..1_500;

/// Time from the start of an executor that is back until it is cut off, in milliseconds.
const CUT_OFF_AFTER_MS: std::ops::Range<u64> = 200..3_000;

/// Time for which such an executor is cut off, in milliseconds.
const CUT_OFF_MS: std::ops::Range<u64> = 5_000..12_000;

/// Value at which the clock of an executor may start, in milliseconds.
const FIRST_CLOCK_MS: std::ops::Range<u64> = 0..4_000_000;

/// Time for which an announcement may be held up, in milliseconds.
const HELD_UP_ANNOUNCEMENT_MS: std::ops::Range<u64> = 50..12_000;

/// Time for which the report of an executor that it ends may be held up, in milliseconds.
const HELD_UP_MS: std::ops::Range<u64> = 300..12_000;

/// Factor on the duration of a run that takes unusually long.
const LONG_RUN_FACTOR: f64 = 7.0;

impl Simulation {
    /// Starts an executor on a host; it announces itself soon unless the host is on standby.
    pub(super) fn start_executor(&mut self, host: usize) {
        let index = self.executors.len();
        let clock_rate = 1.0 - self.scenario.faults.max_clock_drift * self.rng.random::<f64>();
        let kept = self.hosts[host].kept_id.take();
        let is_reborn = kept.is_some();
        // The first announcement of an executor that is back at once may be lost with its calls.
        let longest_silence = if is_reborn {
            ANNOUNCE_INTERVAL_MS
        } else {
            ANNOUNCE_INTERVAL_MS / 10
        };
        let incarnation = ExecutorIncarnation {
            id: kept.unwrap_or_else(|| format!("executor-{index}").into()),
            started_ms: START_WALL_MS + self.now,
            pool: Arc::clone(&self.hosts[host].pool),
            address: format!("127.0.0.1:{host}").into(),
            zone: "zone".into(),
            labels: vec!["kind".into()],
            rack: None,
            capacity: self.scenario.fleet.host_capacity(),
        };
        let first_clock = if self.scenario.faults.arbitrary_clocks {
            self.rng.random_range(FIRST_CLOCK_MS)
        } else {
            0
        };
        let executor = Executor::new(incarnation, host, self.now, (first_clock, clock_rate));
        self.executors.push(executor);
        self.hosts[host].executor = Some(index);
        if &*self.hosts[host].pool != "standby" {
            let after = self.rng.random_range(1..longest_silence);
            self.schedule(after, ScheduledEvent::Announce(index));
        }
        let cut_off = self.scenario.faults.cut_off_reborn;
        if is_reborn && cut_off > 0.0 && self.rng.random_bool(cut_off) {
            let after = self.rng.random_range(CUT_OFF_AFTER_MS);
            let duration = self.rng.random_range(CUT_OFF_MS);
            self.schedule(after, ScheduledEvent::CutOff(index, duration));
        }
    }

    /// Separates an executor from the leader for a time in milliseconds.
    pub(super) fn cut_off(&mut self, index: usize, duration: u64) {
        let executor = &mut self.executors[index];
        if executor.partitioned_until <= self.now {
            executor.partitioned_since = self.now;
        }
        executor.partitioned_until = self.now + duration;
    }

    /// Sends a call to an executor over a network that may delay the call or lose its answer.
    ///
    /// `relayed` is the relay that makes the call; `None` for the leader itself.
    pub(super) fn call_executor(&mut self, call: &ExecutorCall, relayed: Option<CallAtRelay>) {
        let (key, relayed) = (call.executor, relayed.map(Box::new));
        let executor = self
            .executors
            .iter()
            .rposition(|executor| executor.incarnation.id == call.id);
        let fence = if self.scenario.defect == Some(Defect::CommonFence) {
            call.term
        } else {
            call.fence()
        };
        let (epoch, call) = (call.term, call.call.clone());
        let Some(executor) = executor else {
            return;
        };
        let faults = self.scenario.faults;
        let is_hold = matches!(call, Call::Hold { .. });
        let delayed = !is_hold && self.rng.random_bool(faults.delayed_orders);
        let lost = self.rng.random_bool(faults.lost_answers);
        let after = if delayed {
            self.rng.random_range(2_000..12_000)
        } else {
            NETWORK_DELAY_MS
        };
        if delayed || lost {
            self.schedule_timeout(epoch, CallTag::new(key, &call), relayed.as_deref());
        }
        self.schedule(
            after,
            ScheduledEvent::DeliverCall {
                epoch,
                fence,
                executor,
                key,
                call,
                delayed,
                answered: !delayed && !lost,
                relayed,
            },
        );
    }

    /// Schedules that a call has got no answer in time.
    fn schedule_timeout(&mut self, epoch: u64, tag: CallTag, relayed: Option<&CallAtRelay>) {
        let event = match relayed {
            Some(arrival) => ScheduledEvent::RelayedResult {
                epoch,
                number: arrival.call.number,
                result: tag.failed(CallError::Unknown),
            },
            None => ScheduledEvent::DeliverEvent(epoch, tag.unanswered()),
        };
        self.schedule(CALL_TIMEOUT_MS, event);
    }

    /// Sends the result of a call to the one that made it.
    fn answer(
        &mut self,
        epoch: u64,
        tag: CallTag,
        result: CallResult,
        relayed: Option<&CallAtRelay>,
    ) {
        if let Some(arrival) = relayed {
            return self.return_result(arrival, result);
        }
        let event = ScheduledEvent::DeliverEvent(epoch, tag.event(result));
        self.schedule(NETWORK_DELAY_MS, event);
    }

    /// Carries out a call on an executor and sends the answer. A call times out if the executor is
    /// down or partitioned.
    pub(super) fn deliver_call(
        &mut self,
        (epoch, fence): (u64, u64),
        index: usize,
        (key, call): (ExecutorKey, &Call),
        (delayed, answered): (bool, bool),
        relayed: Option<Box<CallAtRelay>>,
    ) {
        let (now, tag) = (self.now, CallTag::new(key, call));
        let index = if delayed && !self.scenario.faults.late_orders_reach_successors {
            index
        } else {
            self.latest_incarnation(index)
        };
        let executor = &self.executors[index];
        if !executor.up || executor.partitioned_until > now {
            if answered && self.has_successor(index) {
                let result = tag.failed(CallError::OtherIncarnation);
                self.answer(epoch, tag, result, relayed.as_deref());
            } else if answered {
                self.schedule_timeout(epoch, tag, relayed.as_deref());
            }
            return;
        }
        self.advance(index);
        let result = match call {
            Call::Start {
                run, deadline_ms, ..
            } => {
                let active = self.new_run(index, *run);
                let executor = &mut self.executors[index];
                let started = executor.start(now, fence, *deadline_ms, *run, active);
                if started == Ok(true) {
                    self.record_start(index, *run, delayed, active);
                }
                self.check_incarnation(index, tag, started.is_ok());
                let clock = self.executors[index].clock(now);
                CallResult::Order(started.map(|_| clock).map_err(CallError::Rejected))
            }
            Call::Stop { run } => {
                let was_running = self.executors[index].running.contains_key(run);
                let stopped = self.executors[index].stop(now, fence, *run);
                if stopped.is_ok() {
                    let needed = was_running && self.is_needed(*run);
                    if needed {
                        self.check_ordered_end(*run);
                    }
                    self.checker.record_end(now, index, *run);
                }
                self.check_incarnation(index, tag, stopped.is_ok());
                let clock = self.executors[index].clock(now);
                self.answer_hold_if_ended(index);
                CallResult::Order(stopped.map(|()| clock).map_err(CallError::Rejected))
            }
            Call::Hold {
                deadline_ms,
                acknowledged: last_acknowledged,
                wait,
                ..
            } => {
                self.report.polls += 1;
                let report =
                    self.executors[index].hold(now, fence, *deadline_ms, *last_acknowledged);
                self.check_incarnation(index, tag, report.is_ok());
                self.record_noted(index);
                if report.is_ok()
                    && !self.executors[index].has_ends_after(*last_acknowledged)
                    && !wait.is_zero()
                {
                    let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                    let pending = PendingHold {
                        epoch,
                        tag,
                        last_acknowledged: *last_acknowledged,
                        until: now + wait,
                        fence,
                        relayed,
                    };
                    self.pending_holds.insert(index, pending);
                    return self.schedule(wait, ScheduledEvent::HoldTimeout(index));
                }
                CallResult::Hold(report.map_err(CallError::Rejected))
            }
        };
        if answered {
            self.answer(epoch, tag, result, relayed.as_deref());
        }
    }

    /// Checks that an incarnation carries out no call for a former one after a call for itself.
    fn check_incarnation(&mut self, index: usize, tag: CallTag, is_accepted: bool) {
        let executor = &mut self.executors[index];
        let started = executor.incarnation.started_ms;
        if !is_accepted {
            return;
        }
        if self.started_by_key.get(&tag.executor()) == Some(&started) {
            executor.was_called = true;
        } else if executor.was_called {
            let (now, id, call) = (self.now, &executor.incarnation.id, tag.name());
            let text = format!("{now}: {id} carries out a {call} for a former incarnation");
            self.checker.violations.push(text);
        }
    }

    /// Returns a run that starts now, with a random duration: 0.85 to 1.15 times its estimate, unless
    /// the scenario says otherwise.
    pub(super) fn new_run(&mut self, index: usize, run: RunId) -> ActiveRun {
        let health = self.executors[index].health;
        let submitted = self.checker.jobs.get(&run.task.job);
        let step =
            submitted.and_then(|submitted| submitted.spec.steps.get(usize::from(run.task.step)));
        let faults = self.scenario.faults;
        let error = if faults.estimate_error > 0.0 {
            faults.estimate_error
        } else {
            0.15
        };
        let mut factor = 1.0 - error + 2.0 * error * self.rng.random::<f64>();
        if faults.long_runs > 0.0 && self.rng.random_bool(faults.long_runs) {
            factor *= LONG_RUN_FACTOR;
        }
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a task")]
        let duration = step.map_or(0, |step| round_to_u64(step.estimate_ms as f64 * factor));
        let long_running = step.is_some_and(|step| step.long_running);
        let fails = self.rng.random_bool(self.scenario.faults.failing_runs);
        let need = step.map(masticfield_jobs::job::StepSpec::reserved);
        let ends_at = if health == Health::Failing {
            Some(self.now + FAILED_RUN_MS)
        } else {
            (!long_running).then_some(self.now + duration * health.slowdown())
        };
        ActiveRun {
            need: need.unwrap_or_default(),
            started: self.now,
            ends_at,
            fails: fails || health == Health::Failing,
        }
    }

    /// Records and checks the start of a run, and schedules its end.
    pub(super) fn record_start(
        &mut self,
        index: usize,
        run: RunId,
        delayed: bool,
        active: ActiveRun,
    ) {
        self.report.starts += 1;
        // Leases of other runs may have expired by their executors' clocks without an event.
        let elsewhere = self.checker.running.get(&run.task).into_iter().flatten();
        let elsewhere: Vec<_> = elsewhere.map(|(executor, _)| *executor).collect();
        for executor in elsewhere.into_iter().filter(|executor| *executor != index) {
            self.advance(executor);
        }
        let job = self.state.job(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        // Only committed ends count: a crash loses those that the leader has not received.
        let outcome = task.map_or((false, 0), |task| (task.done, task.failures));
        self.checker
            .check_start(self.now, index, run, delayed, outcome);
        self.check_workspace(run.task.job);
        let executor = &self.executors[index];
        // An order that arrives late may do so after the capacity has shrunk.
        let since = if delayed {
            0
        } else {
            self.now.saturating_sub(CAPACITY_GRACE_MS)
        };
        let capacity = executor.largest_capacity_since(since);
        if !capacity.covers(executor.used()) {
            self.checker.over_capacity += 1;
            let used = executor.used();
            let text = format!(
                "{}: {run} takes executor {index} above its capacity: {used:?} used",
                self.now
            );
            self.checker.violations.push(text);
        }
        if self.checker.is_crashing(run.task) {
            self.schedule(CRASH_DELAY_MS, ScheduledEvent::CrashByRun(index, run));
        }
        if let Some(ends_at) = active.ends_at {
            self.schedule(ends_at - self.now, ScheduledEvent::AdvanceExecutor(index));
        }
    }

    /// Ends the runs on an executor that are over by now.
    pub(super) fn advance(&mut self, index: usize) {
        let before: Vec<_> = self.executors[index].running.keys().copied().collect();
        let ended = self.executors[index].advance(self.now);
        for run in before {
            if !self.executors[index].running.contains_key(&run) {
                self.checker.record_end(self.now, index, run);
            }
        }
        if self.executors[index].up {
            for (run, kind) in ended {
                if kind == EndKind::Done {
                    self.checker.record_done(index, run);
                } else {
                    self.checker.record_failed(run);
                }
            }
        }
        self.answer_hold_if_ended(index);
    }

    /// Checks the completed runs on an executor that were acknowledged.
    fn record_noted(&mut self, index: usize) {
        for run in self.executors[index].take_noted() {
            self.checker.record_noted(self.now, index, run);
        }
    }

    /// Answers the pending hold on an executor, if any, once there is an end to report.
    pub(super) fn answer_hold_if_ended(&mut self, index: usize) {
        let last_acknowledged = self
            .pending_holds
            .get(&index)
            .map(|hold| hold.last_acknowledged);
        if last_acknowledged.is_some_and(|number| self.executors[index].has_ends_after(number)) {
            self.answer_hold(index);
        }
    }

    /// Answers the pending hold on an executor, if any.
    pub(super) fn answer_hold(&mut self, index: usize) {
        let Some(hold) = self.pending_holds.remove(&index) else {
            return;
        };
        let executor = &mut self.executors[index];
        let reachable = executor.up && executor.partitioned_until <= self.now;
        let result = if reachable {
            executor
                .hold(self.now, hold.fence, None, hold.last_acknowledged)
                .map_err(CallError::Rejected)
        } else {
            Err(CallError::Unknown)
        };
        self.record_noted(index);
        let result = CallResult::Hold(result);
        self.answer(hold.epoch, hold.tag, result, hold.relayed.as_deref());
    }

    /// Announces an executor to the leader, and schedules its next announcement.
    pub(super) fn announce(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        if !executor.up {
            return;
        }
        executor.sequence += 1;
        let announcement = Announcement {
            incarnation: executor.incarnation.clone(),
            sequence: executor.sequence,
            clock_ms: executor.clock(self.now),
            leaving: executor.leaving,
        };
        let reachable = executor.partitioned_until <= self.now;
        self.advance(index);
        self.schedule(ANNOUNCE_INTERVAL_MS, ScheduledEvent::Announce(index));
        let share = self.scenario.faults.held_up_announcements;
        if reachable && share > 0.0 && self.rng.random_bool(share) {
            let after = self.rng.random_range(HELD_UP_ANNOUNCEMENT_MS);
            let event = ScheduledEvent::DeliverAnnouncement(announcement);
            self.schedule(after, event);
        } else if reachable {
            self.deliver_announcement(announcement);
        }
    }

    /// Passes on the announcement of an executor, which may have ended meanwhile.
    pub(super) fn deliver_announcement(&mut self, announcement: Announcement) {
        let reply_to = self.next_reply_id();
        let event = Event::Announced {
            reply_to,
            announcement,
        };
        self.notify_leader(self.epoch, event);
    }

    /// Checks that a task is not placed on an executor that was added again after it had ended.
    pub(super) fn check_placement(&mut self, run: RunId, key: ExecutorKey) {
        let Some(record) = self.state.executor(key) else {
            return;
        };
        let known = &record.incarnation;
        let incarnation = (Arc::clone(&known.id), known.started_ms);
        let is_up = self.executors.iter().any(|executor| {
            let same = &executor.incarnation;
            executor.up && same.id == known.id && same.started_ms == known.started_ms
        });
        if !is_up && self.enlisted.get(&incarnation) > Some(&1) {
            let id = &known.id;
            let text = format!(
                "{run} is placed on {id}, which has ended, at {} ms",
                self.now
            );
            self.checker.violations.push(text);
        }
    }

    /// Makes random executors slow, or lets them fail every run.
    pub(super) fn degrade_executors(&mut self) {
        let faults = self.scenario.faults;
        for executor in &mut self.executors {
            let draw: f64 = self.rng.random();
            if draw < faults.failing_executors {
                executor.set_health(self.now, Health::Failing);
            } else if draw < faults.failing_executors + faults.slow_executors {
                executor.set_health(self.now, Health::Slow(faults.slowdown));
            }
        }
        self.reschedule_ends();
    }

    /// Makes all executors healthy again.
    pub(super) fn restore_executors(&mut self) {
        for executor in &mut self.executors {
            executor.set_health(self.now, Health::Healthy);
        }
        self.reschedule_ends();
    }

    /// Schedules the ends of all runs after their times have changed.
    fn reschedule_ends(&mut self) {
        let ends: Vec<_> = (0..)
            .zip(&self.executors)
            .flat_map(|(index, executor)| {
                let runs = executor.running.values();
                runs.filter_map(move |run| Some((index, run.ends_at?)))
            })
            .collect();
        for (index, ends_at) in ends {
            self.schedule(ends_at - self.now, ScheduledEvent::AdvanceExecutor(index));
        }
    }

    /// Shrinks the capacity of a random executor for a while.
    pub(super) fn shrink_capacity(&mut self) {
        let index = self.rng.random_range(0..self.executors.len());
        let full = self.scenario.fleet.host_capacity();
        let executor = &mut self.executors[index];
        if !executor.up || executor.incarnation.capacity != full {
            return;
        }
        let share = self.rng.random_range(0.33..0.67);
        executor.set_capacity(self.now, full.scaled(share));
        let after = self.rng.random_range(2_000..8_000);
        self.schedule(after, ScheduledEvent::RestoreCapacity(index));
    }

    pub(super) fn restore_capacity(&mut self, index: usize) {
        let full = self.scenario.fleet.host_capacity();
        self.executors[index].set_capacity(self.now, full);
    }

    /// Crashes a random executor if it is up; its host starts another one after 1 to 5 s.
    pub(super) fn crash_executor(&mut self) {
        let index = self.rng.random_range(0..self.executors.len());
        let host = self.executors[index].host;
        if !self.executors[index].up || self.hosts[host].executor != Some(index) {
            return;
        }
        self.end_executor(index);
        let after = self.rng.random_range(1_000..5_000);
        let share = self.scenario.faults.reborn_executors;
        if share > 0.0 && self.rng.random_bool(share) {
            let id = Arc::clone(&self.executors[index].incarnation.id);
            self.hosts[host].kept_id = Some(id);
            let after = self.rng.random_range(REBORN_MS);
            return self.schedule(after, ScheduledEvent::HostReturns(host));
        }
        self.schedule(after, ScheduledEvent::HostReturns(host));
    }

    /// Returns the executor that answers to the identifier of one that may have ended.
    fn latest_incarnation(&self, index: usize) -> usize {
        let executor = &self.executors[index];
        let successor = self.hosts[executor.host].executor;
        let same = |other: &usize| self.executors[*other].incarnation.id == executor.incarnation.id;
        successor.filter(same).unwrap_or(index)
    }

    /// Lets a random executor announce that it is leaving; it ends after 6 to 10 s.
    pub(super) fn let_executor_leave(&mut self) {
        let index = self.rng.random_range(0..self.executors.len());
        let host = self.executors[index].host;
        if !self.executors[index].up || self.hosts[host].executor != Some(index) {
            return;
        }
        self.executors[index].leaving = true;
        let after = self.rng.random_range(6_000..10_000);
        self.schedule(after, ScheduledEvent::EndLeaving(index));
    }

    /// Ends an executor that was leaving, if it is still up; its host starts another one.
    pub(super) fn end_leaving(&mut self, index: usize) {
        if self.executors[index].up {
            self.advance(index);
            self.end_executor(index);
            let host = self.executors[index].host;
            let after = if self.report_end(index) {
                self.rng.random_range(REBORN_MS)
            } else {
                self.rng.random_range(1_000..3_000)
            };
            self.schedule(after, ScheduledEvent::HostReturns(host));
        }
    }

    /// Sends the report of an executor that it ends, unless the scenario has none; returns whether the
    /// executor is back under its identifier.
    fn report_end(&mut self, index: usize) -> bool {
        let faults = self.scenario.faults;
        if faults.held_up_departures == 0.0 {
            return false;
        }
        let incarnation = &self.executors[index].incarnation;
        let (id, started_ms) = (Arc::clone(&incarnation.id), incarnation.started_ms);
        let departure = Departure {
            id,
            started_ms: self.rng.random_bool(0.5).then_some(started_ms),
        };
        let after = if self.rng.random_bool(faults.held_up_departures) {
            self.rng.random_range(HELD_UP_MS)
        } else {
            NETWORK_DELAY_MS
        };
        let is_reborn = self.rng.random_bool(faults.reborn_executors);
        if is_reborn {
            let host = self.executors[index].host;
            self.hosts[host].kept_id = Some(Arc::clone(&departure.id));
        }
        self.schedule(after, ScheduledEvent::Depart(departure));
        is_reborn
    }

    /// Passes on the report of an executor that it ends.
    pub(super) fn depart(&mut self, departure: Departure) {
        let reply_to = self.next_reply_id();
        let event = Event::Left {
            reply_to,
            departure,
        };
        self.notify_leader(self.epoch, event);
    }

    /// Checks that an order may end a run; see [`Checker::check_ordered_end`].
    ///
    /// [`Checker::check_ordered_end`]: crate::checker::Checker::check_ordered_end
    pub(super) fn check_ordered_end(&mut self, run: RunId) {
        let now = self.now;
        let cut_off = (0..).zip(&self.executors).filter(|(_, executor)| {
            executor.partitioned_until > now && now >= executor.partitioned_since + OUTAGE_GRACE_MS
        });
        let cut_off = cut_off.map(|(index, _)| index).collect();
        self.checker.check_ordered_end(now, run, &cut_off);
    }

    /// Crashes the executor that has started a run of a task that crashes executors.
    pub(super) fn crash_by_run(&mut self, index: usize, run: RunId) {
        let host = self.executors[index].host;
        if !self.executors[index].up || !self.executors[index].running.contains_key(&run) {
            return;
        }
        self.checker.record_crash(run.task);
        self.report.crashes_by_tasks += 1;
        self.end_executor(index);
        let share = self.scenario.faults.reborn_executors;
        if share > 0.0 && self.rng.random_bool(share) {
            let id = Arc::clone(&self.executors[index].incarnation.id);
            self.hosts[host].kept_id = Some(id);
        }
        let limits = self.scenario.faults.crashing_limits;
        let (shortest, longest) = limits.map_or(CRASH_RETURN_MS, |limits| limits.return_ms);
        let after = self.rng.random_range(shortest..longest);
        self.schedule(after, ScheduledEvent::HostReturns(host));
    }

    /// Returns whether another executor answers at the address of one that has ended.
    fn has_successor(&self, index: usize) -> bool {
        let ended = &self.executors[index];
        let successor = self.hosts[ended.host].executor;
        let successor = successor.map(|successor| &self.executors[successor]);
        !ended.up && successor.is_some_and(|successor| successor.partitioned_until <= self.now)
    }

    /// Ends an executor and all its runs.
    pub(super) fn end_executor(&mut self, index: usize) {
        let runs: Vec<_> = self.executors[index].running.keys().copied().collect();
        for run in runs {
            self.checker.record_end(self.now, index, run);
        }
        let host = self.executors[index].host;
        self.executors[index].running.clear();
        self.executors[index].up = false;
        self.hosts[host].executor = None;
        if self.scenario.faults.cut_off_reborn > 0.0 {
            self.lose_hold(index);
        } else if self.pending_holds.contains_key(&index) {
            self.answer_hold(index);
        }
    }

    /// Lets the pending hold on an executor, if any, time out.
    fn lose_hold(&mut self, index: usize) {
        if let Some(hold) = self.pending_holds.remove(&index) {
            self.schedule_timeout(hold.epoch, hold.tag, hold.relayed.as_deref());
        }
    }
}
