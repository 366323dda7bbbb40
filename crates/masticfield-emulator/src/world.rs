//! The simulated world.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, Resources, RunId};
use masticfield_jobs::leader::{
    Announcement, AskId, Call, CallError, Effect, Event, HostError, HostOptions, Intake,
    IntakeKind, Leader, LeaderOptions, ListedHost, Moment, Refusal, Reply, Turn,
};
use masticfield_jobs::state::{Command, ExecutorKey, ExecutorLife, MachineClaim, State, WaveOrder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::day::Day;
use crate::executor::{Executor, Running};
use crate::host::Host;
use crate::ledger::{Ledger, Sent};
use crate::load::{QueueLoad, whole};
use crate::report::Report;

/// Time of day at the start, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time to commit a turn, in milliseconds: a sync and a round trip.
const COMMIT_MS: u64 = 10;

/// One way to an executor, in milliseconds.
const TRIP_MS: u64 = 1;

/// Time after which a call without an answer is given up, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time between two announcements of an executor, in milliseconds.
const ANNOUNCE_MS: u64 = 1_500;

/// Time before the load begins, in milliseconds.
const LEAD_MS: u64 = 5_000;

/// Time that a move takes, in milliseconds.
const MOVE_MS: u64 = 1_500;

/// Time that an upkeep takes, in milliseconds.
const UPKEEP_MS: u64 = 2_000;

/// Length of each queue's turn of a surge, as a share of the day.
const TURN_SHARE: f64 = 0.25;

/// Factor on the mean rate in a queue's turn, and out of it.
const SURGE: (f64, f64) = (3.85, 0.05);

/// Credit of a job that is late but within three times its objective.
const LATE_CREDIT: f64 = 0.07;

/// Time after which a caller asks again that got no answer, in milliseconds.
const ASK_AGAIN_MS: u64 = 600;

/// Something that happens at a moment.
#[derive(Debug, Clone)]
enum Happening {
    Announce(usize),
    Submit(usize),
    SubmitAgain(JobId),
    Cancel(JobId),
    Commit(u64, Turn),
    Arrive {
        epoch: u64,
        executor: usize,
        key: ExecutorKey,
        call: Call,
        late: bool,
        answers: bool,
    },
    Tell(u64, Event),
    Advance(usize),
    HoldOver(usize),
    Crash,
    Cut,
    NewLeader,
    HostBack(usize),
    Tick,
    Wave,
}

/// A hold that waits for an end.
#[derive(Debug, Clone, Copy)]
struct WaitingHold {
    epoch: u64,
    key: ExecutorKey,
    sent: Duration,
    noted: u64,
    until: u64,
    fence: u64,
}

/// The simulated world.
#[derive(Debug)]
pub struct World {
    day: Day,
    rng: ChaCha8Rng,
    now: u64,
    agenda: BTreeMap<(u64, u64), Happening>,
    last: u64,
    epoch: u64,
    leader: Leader,
    state: State,
    /// Turns that are not committed yet, in order.
    uncommitted: u32,
    executors: Vec<Executor>,
    waiting: HashMap<usize, WaitingHold>,
    hosts: Vec<Host>,
    /// What each question is about, and whether it is a cancel.
    asks: BTreeMap<AskId, (JobId, bool)>,
    last_ask: u64,
    ledger: Ledger,
    report: Report,
    counted: u64,
}

impl World {
    /// Creates the world of a day; `seed` decides everything that is left to chance.
    pub fn new(day: Day, seed: u64) -> Self {
        let mut state = State::default();
        let config = day.fleet.config();
        let content: Arc<[u8]> = Arc::from(&b"config"[..]);
        state.apply(Command::Configure { config, content });
        let leader = Leader::new(state.clone(), options(), moment(0));
        let mut world = Self {
            day,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            agenda: BTreeMap::new(),
            last: 0,
            epoch: 1,
            leader,
            state,
            uncommitted: 0,
            executors: Vec::new(),
            waiting: HashMap::new(),
            hosts: Vec::new(),
            asks: BTreeMap::new(),
            last_ask: 0,
            ledger: Ledger::default(),
            report: Report::default(),
            counted: 0,
        };
        world.set_up();
        world
    }

    /// Plays the day.
    pub fn play(mut self) -> Report {
        let end = LEAD_MS + self.day.length_ms + self.day.settle_ms;
        while let Some(((at, _), happening)) = self.agenda.pop_first() {
            if at > end {
                break;
            }
            self.count_hosts(at);
            self.now = at;
            self.happen(happening);
            let more = self
                .agenda
                .first_key_value()
                .is_some_and(|((next, _), _)| *next == at);
            if !more {
                self.turn();
            }
        }
        self.finish()
    }

    fn set_up(&mut self) {
        let queues = self.day.fleet.queues.clone();
        let mut number = 0;
        let pools = queues
            .iter()
            .map(|queue| (Arc::clone(&queue.name), queue.hosts));
        let pools: Vec<_> = pools
            .chain([("standby".into(), self.day.fleet.spare_hosts)])
            .collect();
        for (pool, hosts) in pools {
            for _ in 0..hosts {
                number += 1;
                self.hosts.push(Host {
                    name: format!("host-{number}").into(),
                    pool: Arc::clone(&pool),
                    back: 0,
                    executor: None,
                    fence: 0,
                    tended: false,
                });
                self.boot(self.hosts.len() - 1);
            }
        }
        for (index, queue) in queues.iter().enumerate() {
            for _ in 0..queue.lasting_jobs {
                self.submit(index, true);
            }
            self.next_submit(index, LEAD_MS);
        }
        let faults = self.day.faults;
        self.later_by_chance(faults.crash_every_ms, Happening::Crash);
        self.later_by_chance(faults.cut_every_ms, Happening::Cut);
        self.later_by_chance(faults.new_leader_every_ms, Happening::NewLeader);
        self.later(1, Happening::Tick);
        if self.day.upkeep {
            self.later(LEAD_MS, Happening::Wave);
        }
    }

    fn later(&mut self, after: u64, happening: Happening) {
        self.last += 1;
        self.agenda.insert((self.now + after, self.last), happening);
    }

    fn later_by_chance(&mut self, mean: u64, happening: Happening) {
        // After the load everything has to settle.
        if mean > 0 && self.now < LEAD_MS + self.day.length_ms {
            let after = self.rng.random_range(mean / 2..mean * 3 / 2).max(1);
            self.later(after, happening);
        }
    }

    /// Starts an executor on a host.
    fn boot(&mut self, host: usize) {
        let index = self.executors.len();
        let slow = 1.0 - self.day.faults.slow_clocks * self.rng.random::<f64>();
        let life = ExecutorLife {
            id: format!("executor-{index}").into(),
            born_ms: EPOCH_MS + self.now,
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

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => self.later(20, Happening::Tick),
            Happening::Wave => self.start_wave(),
            Happening::Announce(executor) => self.announce(executor),
            Happening::Submit(queue) => {
                self.submit(queue, false);
                self.next_submit(queue, 0);
            }
            Happening::SubmitAgain(job) => self.ask(job),
            Happening::Cancel(job) => self.cancel(job),
            Happening::Commit(epoch, turn) => self.committed(epoch, turn),
            Happening::Arrive {
                epoch,
                executor,
                key,
                call,
                late,
                answers,
            } => self.arrive(epoch, executor, key, &call, late, answers),
            Happening::Tell(epoch, event) => self.tell(epoch, event),
            Happening::Advance(executor) => self.advance(executor),
            Happening::HoldOver(executor) => {
                let due = self
                    .waiting
                    .get(&executor)
                    .is_some_and(|hold| hold.until <= self.now);
                if due {
                    self.answer_hold(executor);
                }
            }
            Happening::Crash => {
                self.crash();
                self.later_by_chance(self.day.faults.crash_every_ms, Happening::Crash);
            }
            Happening::Cut => {
                let executor = self.rng.random_range(0..self.executors.len());
                let time = self.rng.random_range(500..9_000);
                self.executors[executor].cut_until = self.now + time;
                self.later_by_chance(self.day.faults.cut_every_ms, Happening::Cut);
            }
            Happening::NewLeader => {
                self.new_leader();
                let mean = self.day.faults.new_leader_every_ms;
                self.later_by_chance(mean, Happening::NewLeader);
            }
            Happening::HostBack(host) => self.boot(host),
        }
    }

    fn tell(&mut self, epoch: u64, event: Event) {
        if epoch == self.epoch {
            self.report.steps += 1;
            self.leader.step(moment(self.now), event);
        }
    }

    fn turn(&mut self) {
        let turn = self.leader.turn(moment(self.now));
        if turn == Turn::default() {
            return;
        }
        // An empty turn waits for those before it.
        let after = if turn.commands.is_empty() && self.uncommitted == 0 {
            0
        } else {
            COMMIT_MS
        };
        self.uncommitted += 1;
        self.later(after, Happening::Commit(self.epoch, turn));
    }

    fn committed(&mut self, epoch: u64, turn: Turn) {
        if epoch != self.epoch {
            return;
        }
        self.uncommitted -= 1;
        for command in turn.commands {
            self.state.apply(command);
        }
        for effect in turn.then {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { ask, reply } => self.answered(ask, &reply),
            Effect::Call {
                executor: key,
                id,
                call,
                ..
            } => self.send(key, &id, call),
            Effect::ListHosts => {
                let hosts = Some(self.list());
                self.later(4, Happening::Tell(self.epoch, Event::Listed { hosts }));
            }
            Effect::OrderHost {
                host,
                claim,
                number,
            } => self.order_host(host, claim, number),
            Effect::Forget { .. } => {}
        }
    }

    /// Sends a call to an executor, over a network that may lose it or its answer.
    fn send(&mut self, key: ExecutorKey, id: &Arc<str>, call: Call) {
        let executor = self
            .executors
            .iter()
            .position(|executor| executor.life.id == *id);
        let Some(executor) = executor else {
            return;
        };
        let faults = self.day.faults;
        let is_hold = matches!(call, Call::Hold { .. });
        let late = !is_hold && self.rng.random_bool(faults.late_orders);
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

    fn arrive(
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
                let begin = self.running_of(*run);
                let executor = &mut self.executors[index];
                let started = executor.start(now, fence, *deadline_ms, *run, begin);
                if started == Ok(true) {
                    self.note_start(index, *run, late, begin);
                }
                let clock = self.executors[index].clock(now);
                Event::Started {
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
                Event::Stopped {
                    executor: key,
                    run: *run,
                    result: stopped.map(|()| clock).map_err(CallError::Rejected),
                }
            }
            Call::Hold {
                deadline_ms,
                noted,
                wait,
                sent,
            } => {
                self.report.looks += 1;
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
                Event::Held {
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

    fn running_of(&mut self, run: RunId) -> Running {
        let sent = self.ledger.sent.get(&run.task.job);
        let step = sent.and_then(|sent| sent.spec.steps.get(usize::from(run.task.step)));
        let factor = 0.85 + 0.3 * self.rng.random::<f64>();
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a task")]
        let time = step.map_or(0, |step| whole(step.estimate_ms as f64 * factor));
        let lasting = step.is_some_and(|step| step.lasting);
        Running {
            need: step
                .map(masticfield_jobs::job::StepSpec::reserved)
                .unwrap_or_default(),
            ends: (!lasting).then_some(self.now + time),
            fails: self.rng.random_bool(self.day.faults.failing_runs),
        }
    }

    fn note_start(&mut self, index: usize, run: RunId, late: bool, begin: Running) {
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
        if !executor.life.capacity.fit(executor.used()) && !late {
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
    fn advance(&mut self, index: usize) {
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

    fn wake_hold(&mut self, index: usize) {
        let noted = self.waiting.get(&index).map(|hold| hold.noted);
        if noted.is_some_and(|noted| self.executors[index].has_ends_after(noted)) {
            self.answer_hold(index);
        }
    }

    fn answer_hold(&mut self, index: usize) {
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
        let event = Event::Held {
            executor: hold.key,
            sent: hold.sent,
            result,
        };
        self.later(TRIP_MS, Happening::Tell(hold.epoch, event));
    }

    fn announce(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        if !executor.up {
            return;
        }
        executor.sequence += 1;
        let announcement = Announcement {
            life: executor.life.clone(),
            sequence: executor.sequence,
            clock_ms: executor.clock(self.now),
            leaving: false,
        };
        let reachable = executor.cut_until <= self.now;
        self.advance(index);
        self.later(ANNOUNCE_MS, Happening::Announce(index));
        if reachable {
            let ask = self.next_ask();
            let event = Event::Announced { ask, announcement };
            self.tell(self.epoch, event);
        }
    }

    fn next_ask(&mut self) -> AskId {
        self.last_ask += 1;
        AskId(self.last_ask)
    }

    /// An executor ends; its host starts another one soon.
    fn crash(&mut self) {
        let index = self.rng.random_range(0..self.executors.len());
        let host = self.executors[index].host;
        if !self.executors[index].up || self.hosts[host].executor != Some(index) {
            return;
        }
        self.end_executor(index);
        let after = self.rng.random_range(1_000..5_000);
        self.later(after, Happening::HostBack(host));
    }

    fn end_executor(&mut self, index: usize) {
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

    /// Another replica leads from now on, with what was committed.
    fn new_leader(&mut self) {
        let turns: Vec<_> = self
            .agenda
            .iter()
            .filter(|(_, happening)| matches!(happening, Happening::Commit(epoch, _) if *epoch == self.epoch))
            .map(|(key, _)| *key)
            .collect();
        // Some of what was proposed is committed, and nobody hears of it.
        let kept = self.rng.random_range(0..=turns.len());
        for (number, key) in turns.into_iter().enumerate() {
            if let Some(Happening::Commit(_, turn)) = self.agenda.remove(&key)
                && number < kept
            {
                for command in turn.commands {
                    self.state.apply(command);
                }
            }
        }
        self.uncommitted = 0;
        self.epoch += 1;
        self.leader = Leader::new(self.state.clone(), options(), moment(self.now));
        for (_, (job, cancels)) in std::mem::take(&mut self.asks) {
            let again = if cancels {
                Happening::Cancel(job)
            } else {
                Happening::SubmitAgain(job)
            };
            self.later(ASK_AGAIN_MS, again);
        }
    }

    /// Whether a run on a sound executor is still asked for.
    fn wants(&self, run: RunId) -> bool {
        let job = self.state.job(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        let current =
            task.is_some_and(|task| task.runs.iter().any(|(number, _)| *number == run.number));
        current && job.is_some_and(|job| job.wants(run))
    }

    fn start_wave(&mut self) {
        let hosts = self
            .hosts
            .iter()
            .step_by(2)
            .map(|host| Arc::clone(&host.name));
        let order = WaveOrder {
            number: 1,
            hosts: hosts.collect(),
            duration_ms: 20_000,
            cap: 3,
        };
        let ask = self.next_ask();
        self.tell(self.epoch, Event::Wave { ask, order });
    }

    fn list(&self) -> Vec<ListedHost> {
        let hosts = self.hosts.iter();
        hosts
            .map(|host| ListedHost {
                name: Arc::clone(&host.name),
                pool: Arc::clone(&host.pool),
                up: host.executor.is_some(),
                kind: Some("kind".into()),
                capacity: Resources {
                    cpu_milli: self.day.fleet.host_cpu_milli,
                    memory_mb: self.day.fleet.host_memory_mb,
                    gpus: 0,
                },
                executor: host
                    .executor
                    .map(|index| Arc::clone(&self.executors[index].life.id)),
            })
            .collect()
    }

    fn order_host(&mut self, name: Arc<str>, claim: MachineClaim, number: u64) {
        let fence = self.epoch * 1_000_000 + number;
        let result = self.take_host(&name, &claim, fence);
        let lost = self.rng.random_bool(self.day.faults.lost_answers);
        let result = if lost {
            Err(HostError::Unknown)
        } else {
            result
        };
        let event = Event::HostOrdered {
            host: name,
            claim,
            result,
        };
        self.later(15, Happening::Tell(self.epoch, event));
    }

    fn take_host(
        &mut self,
        name: &Arc<str>,
        claim: &MachineClaim,
        fence: u64,
    ) -> Result<(), HostError> {
        let index = self.hosts.iter().position(|host| host.name == *name);
        let index = index.ok_or(HostError::Unsuitable)?;
        let host = &mut self.hosts[index];
        if fence <= host.fence {
            return Err(HostError::Fence);
        }
        host.fence = fence;
        let done = match claim {
            MachineClaim::Move { pool } => host.pool == *pool,
            MachineClaim::Upkeep { .. } => host.tended,
        };
        if done {
            return Ok(());
        }
        if self.now < host.back || host.executor.is_none() {
            return Err(HostError::NotUp);
        }
        let time = match claim {
            MachineClaim::Move { pool } => {
                host.pool = Arc::clone(pool);
                self.report.moves += 1;
                MOVE_MS
            }
            MachineClaim::Upkeep { .. } => {
                host.tended = true;
                UPKEEP_MS
            }
        };
        host.back = self.now + time;
        if let Some(executor) = self.hosts[index].executor {
            self.advance(executor);
            let runs: Vec<_> = self.executors[executor].running.keys().copied().collect();
            for run in runs {
                self.ledger.ends_by_order(self.now, run);
            }
            self.end_executor(executor);
        }
        self.later(time, Happening::HostBack(index));
        Ok(())
    }

    fn next_submit(&mut self, index: usize, wait: u64) {
        let now = self.now + wait;
        let end = LEAD_MS + self.day.length_ms;
        if now >= end {
            return;
        }
        let queue = &self.day.fleet.queues[index];
        let rate = queue.per_s * surge(self.day.fleet.queues.len(), index, now, self.day.length_ms);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(0.01) * 1_000.0;
        // A queue out of its turn looks again at the rate soon.
        let gap = whole(gap).clamp(1, 500);
        let looks_only = gap == 500 && rate < 2.0 && !self.rng.random_bool((rate / 2.0).min(1.0));
        if looks_only {
            self.last += 1;
            self.agenda.insert(
                (now + gap, self.last),
                Happening::Submit(usize::MAX - index),
            );
        } else {
            self.last += 1;
            self.agenda
                .insert((now + gap, self.last), Happening::Submit(index));
        }
    }

    fn submit(&mut self, index: usize, lasting: bool) {
        if index >= self.day.fleet.queues.len() {
            // Only a look at the rate.
            return self.next_submit(usize::MAX - index, 0);
        }
        if !lasting && self.now >= LEAD_MS + self.day.length_ms {
            return;
        }
        let queue: QueueLoad = self.day.fleet.queues[index].clone();
        let job = JobId::new(self.rng.random());
        let spec = if lasting {
            QueueLoad::lasting_job()
        } else {
            queue.job(&mut self.rng)
        };
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a job")]
        let objective = whole(spec.chain_ms() as f64 * 1.6) + 600;
        self.ledger.sent.insert(
            job,
            Sent {
                spec,
                at: self.now,
                objective,
                accepted: false,
                refused: false,
                cancelled: None,
                ended: None,
                completed: false,
            },
        );
        self.ask_of(job, index);
        if !lasting && self.rng.random_bool(self.day.faults.cancelled_jobs) {
            let after = self.rng.random_range(10..2_000);
            self.later(after, Happening::Cancel(job));
        }
    }

    fn ask(&mut self, job: JobId) {
        self.ask_of(job, 0);
    }

    fn ask_of(&mut self, job: JobId, index: usize) {
        let Some(sent) = self.ledger.sent.get(&job) else {
            return;
        };
        let queue = &self.day.fleet.queues[index];
        let intake = Intake {
            authority: "fleet.example".into(),
            path: format!("/{}/{job}", queue.name),
            kind: IntakeKind::Submit(sent.spec.clone()),
        };
        let ask = self.next_ask();
        self.asks.insert(ask, (job, false));
        self.tell(self.epoch, Event::Asked { ask, intake });
    }

    fn cancel(&mut self, job: JobId) {
        let accepted = self.ledger.sent.get(&job).is_some_and(|sent| sent.accepted);
        if !accepted {
            return;
        }
        let queue = &self.day.fleet.queues[0];
        let intake = Intake {
            authority: "fleet.example".into(),
            path: format!("/{}/{job}", queue.name),
            kind: IntakeKind::Cancel,
        };
        let ask = self.next_ask();
        self.asks.insert(ask, (job, true));
        self.tell(self.epoch, Event::Asked { ask, intake });
    }

    fn answered(&mut self, ask: AskId, reply: &Reply) {
        let Some((job, cancels)) = self.asks.remove(&ask) else {
            return;
        };
        let Some(sent) = self.ledger.sent.get_mut(&job) else {
            return;
        };
        match reply {
            Reply::Done if cancels => {
                sent.cancelled.get_or_insert(self.now);
            }
            Reply::Done => sent.accepted = true,
            Reply::Refused(Refusal::Busy { .. }) if !sent.accepted => sent.refused = true,
            Reply::NoJob | Reply::Refused(_) => {}
            other => self
                .ledger
                .broken
                .push(format!("{}: {job} got {other:?}", self.now)),
        }
    }

    fn count_hosts(&mut self, at: u64) {
        let serving = self
            .hosts
            .iter()
            .filter(|host| &*host.pool != "standby")
            .count();
        #[expect(clippy::cast_precision_loss, reason = "seconds of a simulated day")]
        let seconds = (at - self.counted) as f64 / 1_000.0 * serving as f64;
        if at <= LEAD_MS + self.day.length_ms {
            self.report.host_seconds += seconds;
        }
        self.counted = at;
        self.note_ends();
    }

    /// Notes jobs that are shown as ended.
    fn note_ends(&mut self) {
        if !self.now.is_multiple_of(5) {
            return;
        }
        let open = self
            .ledger
            .sent
            .iter_mut()
            .filter(|(_, sent)| sent.accepted && sent.ended.is_none());
        for (job, sent) in open {
            use masticfield_jobs::state::JobStatus;
            match self
                .state
                .job(*job)
                .map(masticfield_jobs::state::JobRecord::status)
            {
                Some(JobStatus::Completed) => {
                    sent.ended = Some(self.now);
                    sent.completed = true;
                    let tasks = sent.spec.steps.iter().zip(0..).flat_map(|(step, number)| {
                        (0..step.count).map(move |index| (number, index))
                    });
                    for (number, index) in tasks {
                        let task = masticfield_jobs::job::TaskId::new(*job, 0, number, index);
                        if !self.ledger.done.contains(&task) {
                            let text = format!("{}: {job} is completed without {task}", self.now);
                            self.ledger.broken.push(text);
                        }
                    }
                }
                Some(JobStatus::Failed | JobStatus::Cancelled) => sent.ended = Some(self.now),
                Some(JobStatus::Queued | JobStatus::Running) => {}
                None => {
                    self.ledger
                        .broken
                        .push(format!("{}: {job} is not known", self.now));
                    sent.ended = Some(self.now);
                }
            }
        }
    }

    fn finish(mut self) -> Report {
        let (mut owed, mut earned) = (0.0, 0.0);
        for (job, sent) in &self.ledger.sent {
            if sent.spec.lasts() {
                continue;
            }
            let credit = 1.0 + sent.spec.work();
            self.report.asked += 1;
            owed += credit;
            let took = sent.ended.map(|ended| ended - sent.at);
            match took {
                _ if sent.refused => self.report.refused += 1,
                Some(took) if sent.completed && took <= sent.objective => {
                    self.report.on_time += 1;
                    earned += credit;
                }
                Some(took) if sent.completed => {
                    self.report.late += 1;
                    if took <= 3 * sent.objective {
                        earned += LATE_CREDIT * credit;
                    }
                }
                Some(_) => {
                    self.report.ended_otherwise += 1;
                    owed -= credit;
                }
                None if sent.accepted => {
                    self.report.lost += 1;
                    let record = self.state.job(*job);
                    let text = format!(
                        "{job}, accepted, sent at {}, has not ended: {record:?}",
                        sent.at
                    );
                    self.ledger.broken.push(text);
                }
                None => {}
            }
        }
        self.report.worth = if owed > 0.0 { earned / owed } else { 1.0 };
        self.report.over_room = self.ledger.over_room;
        self.report.run_twice = self.ledger.run_twice;
        self.report.broken = self.ledger.broken;
        self.report
    }
}

fn options() -> LeaderOptions {
    LeaderOptions::new(Duration::from_secs(5)).hosts(HostOptions {
        moving: Duration::from_millis(MOVE_MS),
        upkeep: Duration::from_secs(2),
        hand_over: Duration::from_secs(3),
    })
}

fn moment(now: u64) -> Moment {
    Moment {
        now: Duration::from_millis(now),
        wall_ms: EPOCH_MS + now,
    }
}

/// The rate of a queue against its mean: each has its turn.
#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds of a simulated day"
)]
fn surge(queues: usize, index: usize, now: u64, length: u64) -> f64 {
    let share = now.saturating_sub(LEAD_MS) as f64 / length.max(1) as f64;
    let turn = whole((share / TURN_SHARE).floor());
    let mine = turn == index as u64 % queues.max(1) as u64 || queues < 4;
    if mine { SURGE.0 } else { SURGE.1 }
}

fn unanswered(executor: ExecutorKey, call: &Call) -> Event {
    match call {
        Call::Start { run, .. } => Event::Started {
            executor,
            run: *run,
            result: Err(CallError::Unknown),
        },
        Call::Stop { run } => Event::Stopped {
            executor,
            run: *run,
            result: Err(CallError::Unknown),
        },
        Call::Hold { sent, .. } => Event::Held {
            executor,
            sent: *sent,
            result: Err(CallError::Unknown),
        },
    }
}
