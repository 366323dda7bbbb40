//! The simulated world.

mod callers;
mod executors;
mod hosts;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_jobs::job::JobId;
use masticfield_jobs::leader::{
    Call, CallError, ClaimWatch, Decision, Effect, Event, HostOptions, Leader, LeaderOptions,
    Moment, ReplyId,
};
use masticfield_jobs::state::{Command, ExecutorKey, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::executor::Executor;
use crate::fleet::whole;
use crate::host::Host;
use crate::ledger::Ledger;
use crate::report::Report;
use crate::scenario::Scenario;

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

/// Time of the load before executors turn bad, in milliseconds.
const SOUND_MS: u64 = 1_000;

/// Lease of a leader on a host at the platform, in milliseconds.
const HAND_OVER_MS: u64 = 3_000;

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
    /// A caller of this queue hands in a job.
    Submit(usize),
    /// A queue out of its turn looks at its rate again.
    LookAtRate(usize),
    SubmitAgain(JobId),
    Cancel(JobId),
    Commit(u64, Decision),
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
    Spoil,
    Mend,
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
pub struct Simulation {
    day: Scenario,
    rng: ChaCha8Rng,
    /// Decides what callers send on a day with a fixed load.
    load: ChaCha8Rng,
    now: u64,
    agenda: BTreeMap<(u64, u64), Happening>,
    last: u64,
    epoch: u64,
    leader: Leader,
    state: State,
    claims: ClaimWatch,
    /// Turns that are not committed yet, in order.
    uncommitted: u32,
    executors: Vec<Executor>,
    waiting: HashMap<usize, WaitingHold>,
    hosts: Vec<Host>,
    /// What each question is about, and whether it is a cancel.
    asks: BTreeMap<ReplyId, (JobId, bool)>,
    last_ask: u64,
    ledger: Ledger,
    report: Report,
    counted: u64,
    /// Time that the leader's decisions took.
    decided: Duration,
}

impl Simulation {
    /// Creates the world of a day; `seed` decides everything that is left to chance.
    pub fn new(day: Scenario, seed: u64) -> Self {
        let mut state = State::default();
        let config = day.fleet.config();
        let content: Arc<[u8]> = Arc::from(&b"config"[..]);
        state.apply(Command::Configure { config, content });
        let claims = ClaimWatch::default();
        let leader = Leader::new(state.clone(), options(&day), claims.clone(), moment(0));
        let mut world = Self {
            day,
            rng: ChaCha8Rng::seed_from_u64(seed),
            load: ChaCha8Rng::seed_from_u64(!seed),
            now: 0,
            agenda: BTreeMap::new(),
            last: 0,
            epoch: 1,
            leader,
            state,
            claims,
            uncommitted: 0,
            executors: Vec::new(),
            waiting: HashMap::new(),
            hosts: Vec::new(),
            asks: BTreeMap::new(),
            last_ask: 0,
            ledger: Ledger::default(),
            report: Report::default(),
            counted: 0,
            decided: Duration::ZERO,
        };
        world.set_up();
        world
    }

    /// Plays the day.
    pub fn run(self) -> Report {
        self.run_timed().0
    }

    /// Plays the day, and tells how long the leader's decisions took on the real clock.
    pub fn run_timed(mut self) -> (Report, Duration) {
        let end = LEAD_MS + self.day.load_ms + self.day.settle_ms;
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
        let decided = self.decided;
        (self.finish(), decided)
    }

    fn set_up(&mut self) {
        let queues = self.day.fleet.queues.clone();
        let mut number = 0;
        let pools = queues
            .iter()
            .map(|queue| (Arc::clone(&queue.name), queue.hosts));
        let pools: Vec<_> = pools
            .chain([("standby".into(), self.day.fleet.standby_hosts)])
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
                    asked: None,
                    in_upkeep: false,
                    tended: false,
                });
                self.boot(self.hosts.len() - 1);
            }
        }
        for (index, queue) in queues.iter().enumerate() {
            for _ in 0..queue.long_running_jobs {
                self.submit(index, true);
            }
            self.next_submit(index, LEAD_MS);
        }
        let faults = self.day.faults;
        self.later_by_chance(faults.crash_interval_ms, Happening::Crash);
        self.later_by_chance(faults.partition_interval_ms, Happening::Cut);
        self.later_by_chance(faults.leader_change_interval_ms, Happening::NewLeader);
        self.later(1, Happening::Tick);
        if self.day.upkeep_window_ms > 0 {
            self.later(LEAD_MS, Happening::Wave);
        }
        if faults.failing_executors > 0.0 || faults.slow_executors > 0.0 {
            self.later(LEAD_MS + SOUND_MS, Happening::Spoil);
            self.later(LEAD_MS + self.day.load_ms, Happening::Mend);
        }
    }

    fn later(&mut self, after: u64, happening: Happening) {
        self.last += 1;
        self.agenda.insert((self.now + after, self.last), happening);
    }

    fn later_by_chance(&mut self, mean: u64, happening: Happening) {
        // After the load everything has to settle.
        if mean > 0 && self.now < LEAD_MS + self.day.load_ms {
            let after = self.rng.random_range(mean / 2..mean * 3 / 2).max(1);
            self.later(after, happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => self.later(20, Happening::Tick),
            Happening::Wave => self.start_wave(),
            Happening::Spoil => self.spoil(),
            Happening::Mend => self.mend(),
            Happening::Announce(executor) => self.announce(executor),
            Happening::Submit(queue) => {
                self.submit(queue, false);
                self.next_submit(queue, 0);
            }
            Happening::LookAtRate(queue) => self.next_submit(queue, 0),
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
                self.later_by_chance(self.day.faults.crash_interval_ms, Happening::Crash);
            }
            Happening::Cut => {
                let executor = self.rng.random_range(0..self.executors.len());
                let time = self.rng.random_range(500..9_000);
                self.executors[executor].cut_until = self.now + time;
                self.later_by_chance(self.day.faults.partition_interval_ms, Happening::Cut);
            }
            Happening::NewLeader => {
                self.new_leader();
                let mean = self.day.faults.leader_change_interval_ms;
                self.later_by_chance(mean, Happening::NewLeader);
            }
            Happening::HostBack(host) => self.boot(host),
        }
    }

    fn tell(&mut self, epoch: u64, event: Event) {
        if epoch == self.epoch {
            self.report.events += 1;
            let begun = Instant::now();
            self.leader.handle(moment(self.now), event);
            self.decided += begun.elapsed();
        }
    }

    fn turn(&mut self) {
        let begun = Instant::now();
        let turn = self.leader.decide(moment(self.now));
        self.decided += begun.elapsed();
        if turn == Decision::default() {
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

    fn committed(&mut self, epoch: u64, turn: Decision) {
        if epoch != self.epoch {
            return;
        }
        self.uncommitted -= 1;
        for command in turn.commands {
            self.apply(command);
        }
        for effect in turn.after_commit {
            self.carry_out(effect);
        }
    }

    fn apply(&mut self, command: Command) {
        self.claims
            .record(Duration::from_millis(self.now), &command);
        self.state.apply(command);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                reply_to: ask,
                reply,
            } => self.answered(ask, &reply),
            Effect::Call {
                executor: key,
                id,
                call,
                ..
            } => self.send(key, &id, call),
            Effect::ListHosts => {
                let hosts = Some(self.list());
                self.later(4, Happening::Tell(self.epoch, Event::HostList { hosts }));
            }
            Effect::OrderHost {
                host,
                claim,
                number,
            } => self.order_host(host, claim, number),
            Effect::Disconnect { .. } => {}
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
                    self.apply(command);
                }
            }
        }
        self.uncommitted = 0;
        self.epoch += 1;
        self.leader = Leader::new(
            self.state.clone(),
            options(&self.day),
            self.claims.clone(),
            moment(self.now),
        );
        for (_, (job, cancels)) in std::mem::take(&mut self.asks) {
            let again = if cancels {
                Happening::Cancel(job)
            } else {
                Happening::SubmitAgain(job)
            };
            self.later(ASK_AGAIN_MS, again);
        }
    }

    fn finish(mut self) -> Report {
        let (mut owed, mut earned) = (0.0, 0.0);
        for (job, sent) in &self.ledger.sent {
            if sent.spec.is_long_running() {
                continue;
            }
            let credit = 1.0 + sent.spec.work();
            self.report.submitted += 1;
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
                    } else {
                        self.report.too_late += 1;
                    }
                }
                Some(_) => {
                    self.report.cancelled_or_failed += 1;
                    if sent.cancelled.is_some() {
                        owed -= credit;
                    } else {
                        self.report.failed += 1;
                    }
                }
                None if sent.accepted => {
                    self.report.unfinished += 1;
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
        self.report.over_capacity = self.ledger.over_room;
        self.report.duplicate_runs = self.ledger.run_twice;
        self.report.violations = self.ledger.broken;
        self.report
    }
}

fn options(day: &Scenario) -> LeaderOptions {
    let options = LeaderOptions::new(Duration::from_secs(5))
        .with_defect(day.defect)
        .order(day.order);
    options.hosts(HostOptions {
        move_time: Duration::from_millis(MOVE_MS),
        upkeep_time: Duration::from_secs(2),
        handover: Duration::from_millis(HAND_OVER_MS),
    })
}

fn moment(now: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(now),
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
        Call::Start { run, .. } => Event::StartResult {
            executor,
            run: *run,
            result: Err(CallError::Unknown),
        },
        Call::Stop { run } => Event::StopResult {
            executor,
            run: *run,
            result: Err(CallError::Unknown),
        },
        Call::Hold { sent, .. } => Event::HoldResult {
            executor,
            sent: *sent,
            result: Err(CallError::Unknown),
        },
    }
}
