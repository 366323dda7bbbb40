//! The simulation and its event loop.

mod callers;
mod executors;
mod hosts;
mod relays;
mod suspects;
mod workspaces;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_jobs::job::{JobId, RunId};
use masticfield_jobs::leader::{
    Announcement, Call, ClaimWatch, Decision, Defect, Departure, Effect, Event, HostOptions,
    Leader, LeaderOptions, Moment, ReplyId,
};
use masticfield_jobs::relay::{CallResult, CallTag, ExecutorCall, RelayKey, RelayOptions, Relays};
use masticfield_jobs::state::{Command, ExecutorKey, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::executor::Executor;
use crate::fleet;
use crate::host::Host;
use crate::report::{Report, Shares};
use crate::scenario::Scenario;

use relays::{CallAtRelay, RelayNode};
use suspects::SuspectWaits;
use workspaces::Workspaces;

/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// Time to commit a decision, in milliseconds: a sync of the log and a round trip.
const COMMIT_MS: u64 = 10;

/// Time to commit a decision on a slow disk, in milliseconds.
const SLOW_COMMIT_MS: std::ops::Range<u64> = 100..2_000;

/// One-way network delay between the leader and an executor, in milliseconds.
const NETWORK_DELAY_MS: u64 = 1;

/// Time after which a call to an executor without an answer fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;

/// Interval of an executor's announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_500;

/// Time after which a smaller capacity counts, in milliseconds: two announcements may be lost, and
/// one is on its way.
const CAPACITY_GRACE_MS: u64 = 3 * ANNOUNCE_INTERVAL_MS;

/// Time for executors to announce themselves before the load begins, in milliseconds.
const WARMUP_MS: u64 = 5_000;

/// Time for which a move to another pool keeps a host away, in milliseconds.
const MOVE_MS: u64 = 1_500;

/// Time for which upkeep keeps a host away, in milliseconds.
const UPKEEP_MS: u64 = 2_000;

/// Time of the load before executors become slow or start to fail runs, in milliseconds.
const HEALTHY_MS: u64 = 1_000;

/// Lease of a leader's request about a host at the platform, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// Time after which a task that crashes executors does so, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Shortest and longest time until an executor is back that a task has crashed, in milliseconds.
const CRASH_RETURN_MS: (u64, u64) = (1_000, 9_000);

/// Interval of decisions without another event, in milliseconds.
const TICK_MS: u64 = 20;

/// Share of the load for which each queue surges.
const SURGE_SHARE: f64 = 0.25;

/// Factors on the mean rate of a queue while it surges, and otherwise.
const SURGE_FACTORS: (f64, f64) = (3.85, 0.05);

/// Share of its credit that a late job earns up to three times its objective.
const LATE_CREDIT: f64 = 0.07;

/// Time after a leader change before callers repeat unanswered requests, in milliseconds.
const REQUEST_RETRY_MS: u64 = 600;

/// An event of the simulation, scheduled for a simulated time.
///
/// Executors, hosts and queues are given by index.
#[derive(Debug, Clone)]
enum ScheduledEvent {
    /// An executor announces itself.
    Announce(usize),
    /// An announcement that was held up reaches the leader.
    DeliverAnnouncement(Announcement),
    /// A caller submits a job to a queue.
    Submit(usize),
    /// The next submission to a queue is scheduled anew, by its rate at that time.
    RecheckRate(usize),
    /// A caller repeats the submission of a job.
    Resubmit(JobId),
    /// A caller cancels a job.
    Cancel(JobId),
    /// A decision of the leader with this epoch is committed.
    Commit(u64, Decision),
    /// A call of the leader with this epoch arrives at an executor.
    DeliverCall {
        epoch: u64,
        fence: u64,
        executor: usize,
        key: ExecutorKey,
        call: Call,
        /// Whether the call arrives after it has timed out at the leader.
        delayed: bool,
        /// Whether the answer reaches the leader.
        answered: bool,
        /// The relay that made the call; `None` for the leader itself.
        relayed: Option<Box<CallAtRelay>>,
    },
    /// A relay sends a sign of life to the leader.
    RelayHeartbeat(usize),
    /// A call arrives at its relay.
    ArriveAtRelay(CallAtRelay),
    /// The result of a relayed call reaches the leader with this epoch.
    RelayedResult {
        epoch: u64,
        number: u64,
        result: CallResult,
    },
    /// A random relay is paused, muted or restarted.
    DisturbRelay,
    /// An event reaches the leader with this epoch; dropped if another leads.
    DeliverEvent(u64, Event),
    /// Runs may have ended on an executor.
    AdvanceExecutor(usize),
    /// The maximum wait of a pending hold on an executor may be over.
    HoldTimeout(usize),
    /// A random executor crashes.
    CrashExecutor,
    /// A random executor announces that it is leaving.
    LetExecutorLeave,
    /// An executor that was leaving ends.
    EndLeaving(usize),
    /// The report of an executor that it ends reaches the leader.
    Depart(Departure),
    /// A run crashes the executor that has started it.
    CrashByRun(usize, RunId),
    /// The capacity of a random executor shrinks.
    ShrinkCapacity,
    /// An executor has its full capacity again.
    RestoreCapacity(usize),
    /// A random executor is separated from the leader.
    PartitionExecutor,
    /// An executor is separated from the leader for a time in milliseconds.
    CutOff(usize, u64),
    /// Another replica becomes the leader.
    ChangeLeader,
    /// A host is back, with a new executor.
    HostReturns(usize),
    /// The leader decides, even if nothing else occurs.
    Tick,
    /// The operator starts a wave of upkeep.
    StartWave,
    /// The time of the wave is over.
    EndWave,
    /// Some executors become slow or start to fail runs.
    DegradeExecutors,
    /// All executors work as they should again.
    RestoreExecutors,
    /// The operator sends a configuration of the workspaces.
    Reconfigure,
}

/// A hold that an executor answers when a run ends or the maximum wait is over.
#[derive(Debug, Clone)]
struct PendingHold {
    epoch: u64,
    tag: CallTag,
    /// Number of the last end that the leader has acknowledged.
    last_acknowledged: u64,
    /// End of the maximum wait.
    until: u64,
    fence: u64,
    /// The relay that made the call; `None` for the leader itself.
    relayed: Option<Box<CallAtRelay>>,
}

/// A simulation of a leader with its executors, hosts and callers.
///
/// Times are in milliseconds since the start.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    /// Generates the callers' jobs if the scenario has a fixed load.
    load_rng: ChaCha8Rng,
    /// Chooses the jobs that crash executors if [`Faults::crashing_limits`] is set.
    ///
    /// [`Faults::crashing_limits`]: crate::Faults::crashing_limits
    fault_rng: ChaCha8Rng,
    now: u64,
    /// Events by time, and in the order in which they were scheduled.
    pending_events: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence: u64,
    /// Number of the current leadership, and term of its calls to executors.
    epoch: u64,
    leader: Leader,
    /// The committed state.
    state: State,
    /// Observed claims of hosts, which every new leader starts with.
    claims: ClaimWatch,
    /// How often incarnations have been added to the state, by identifier and start.
    enlisted: HashMap<(Arc<str>, u64), u32>,
    /// Start of each incarnation that was added to the state, by key.
    started_by_key: HashMap<ExecutorKey, u64>,
    /// Number of decisions that are not committed yet.
    uncommitted: u32,
    /// Time at which the latest decision is committed.
    last_commit: u64,
    /// All incarnations of executors, also those that have ended.
    executors: Vec<Executor>,
    /// Pending holds by index of the executor.
    pending_holds: HashMap<usize, PendingHold>,
    hosts: Vec<Host>,
    /// The leader's view of its relays.
    relays: Relays,
    relay_nodes: Vec<RelayNode>,
    /// Index of each relay that has connected, by the key of its connection.
    relay_keys: HashMap<RelayKey, usize>,
    last_relay_key: u64,
    /// Job of each unanswered request, and whether the request cancels it.
    pending_requests: BTreeMap<ReplyId, (JobId, bool)>,
    last_reply_id: u64,
    workspaces: Workspaces,
    checker: Checker,
    suspect_waits: SuspectWaits,
    report: Report,
    /// Begins and ends of the surges of each queue, if they surge at random times.
    surges: Vec<Vec<(u64, u64)>>,
    /// Times of the latest requests about hosts that the platform has accepted.
    orders: VecDeque<u64>,
    /// Time up to which host time is in the report.
    accounted_until: u64,
    /// Real time that the leader has taken to handle events and decide.
    decision_time: Duration,
}

impl Simulation {
    /// Creates a simulation; all random choices depend on `seed`.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut state = State::default();
        let workspaces = Workspaces::new(scenario.workspaces);
        let mut config = workspaces.config(scenario.fleet.config());
        if scenario.sharing_workspaces > 0 {
            config.workspaces = fleet::sharing_workspaces(&scenario, SURGE_FACTORS.0);
        }
        state.apply(Command::configure(config, b"config"[..].into()));
        let claims = ClaimWatch::default();
        let leader = Leader::new(
            state.clone(),
            leader_options(&scenario),
            claims.clone(),
            moment(0),
        );
        let mut simulation = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            load_rng: ChaCha8Rng::seed_from_u64(!seed),
            fault_rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
            now: 0,
            pending_events: BTreeMap::new(),
            last_sequence: 0,
            epoch: 1,
            leader,
            state,
            claims,
            enlisted: HashMap::new(),
            started_by_key: HashMap::new(),
            uncommitted: 0,
            last_commit: 0,
            executors: Vec::new(),
            pending_holds: HashMap::new(),
            hosts: Vec::new(),
            relays: Relays::new(relay_options()),
            relay_nodes: Vec::new(),
            relay_keys: HashMap::new(),
            last_relay_key: 0,
            pending_requests: BTreeMap::new(),
            last_reply_id: 0,
            workspaces,
            checker: Checker::default(),
            suspect_waits: SuspectWaits::default(),
            report: Report::default(),
            surges: Vec::new(),
            orders: VecDeque::new(),
            accounted_until: 0,
            decision_time: Duration::ZERO,
        };
        simulation.initialize();
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(self) -> Report {
        self.run_timed().0
    }

    /// Runs the simulation to its end, and returns the real time that the leader's decisions took.
    pub fn run_timed(mut self) -> (Report, Duration) {
        let end = self.settled_at() + self.scenario.give_up_ms;
        while let Some(((time, _), event)) = self.pending_events.pop_first() {
            if time > end {
                break;
            }
            self.account_host_time(time);
            self.now = time;
            self.process(event);
            let same_time = self
                .pending_events
                .first_key_value()
                .is_some_and(|((next, _), _)| *next == time);
            if !same_time {
                self.decide();
            }
        }
        let decision_time = self.decision_time;
        (self.into_report(), decision_time)
    }

    fn initialize(&mut self) {
        let queues = self.scenario.fleet.queues.clone();
        self.surges = self.random_surges(queues.len());
        let mut number = 0;
        let pools = queues
            .iter()
            .map(|queue| (Arc::clone(&queue.name), queue.hosts));
        let pools: Vec<_> = pools
            .chain([("standby".into(), self.scenario.fleet.standby_hosts)])
            .collect();
        for (pool, hosts) in pools {
            for _ in 0..hosts {
                number += 1;
                self.hosts.push(Host {
                    name: format!("host-{number}").into(),
                    pool: Arc::clone(&pool),
                    available_at: 0,
                    executor: None,
                    kept_id: None,
                    fence: 0,
                    last_order: None,
                    in_upkeep: false,
                    upkeep_requested: false,
                    upkeep_begun: false,
                });
                self.start_executor(self.hosts.len() - 1);
            }
        }
        for (index, queue) in queues.iter().enumerate() {
            for _ in 0..queue.long_running_jobs {
                self.submit(index, true);
            }
            self.schedule_submission(index, WARMUP_MS);
        }
        let faults = self.scenario.faults;
        self.schedule_fault(faults.crash_interval_ms, ScheduledEvent::CrashExecutor);
        self.schedule_fault(
            faults.partition_interval_ms,
            ScheduledEvent::PartitionExecutor,
        );
        self.schedule_fault(
            faults.leader_change_interval_ms,
            ScheduledEvent::ChangeLeader,
        );
        self.schedule_fault(
            faults.capacity_change_interval_ms,
            ScheduledEvent::ShrinkCapacity,
        );
        self.schedule_fault(faults.leave_interval_ms, ScheduledEvent::LetExecutorLeave);
        self.start_relays();
        self.schedule_fault(faults.relay_fault_interval_ms, ScheduledEvent::DisturbRelay);
        self.schedule(1, ScheduledEvent::Tick);
        if self.scenario.upkeep_window_ms > 0 {
            self.schedule(WARMUP_MS, ScheduledEvent::StartWave);
            let window = self.scenario.upkeep_window_ms;
            self.schedule(WARMUP_MS + window, ScheduledEvent::EndWave);
        }
        if self.scenario.workspaces > 0 {
            self.schedule(WARMUP_MS, ScheduledEvent::Reconfigure);
        }
        if faults.failing_executors > 0.0 || faults.slow_executors > 0.0 {
            self.schedule(WARMUP_MS + HEALTHY_MS, ScheduledEvent::DegradeExecutors);
            self.schedule(
                WARMUP_MS + self.scenario.load_ms,
                ScheduledEvent::RestoreExecutors,
            );
        }
    }

    /// Schedules an event after a time in milliseconds.
    fn schedule(&mut self, after: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.pending_events
            .insert((self.now + after, self.last_sequence), event);
    }

    /// Schedules a fault after a random time around `mean` milliseconds, unless that is 0.
    fn schedule_fault(&mut self, mean: u64, event: ScheduledEvent) {
        // Faults cease with the load, so that every accepted job can end.
        if mean > 0 && self.now < WARMUP_MS + self.scenario.load_ms {
            let after = self.rng.random_range(mean / 2..mean * 3 / 2).max(1);
            self.schedule(after, event);
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick => {
                self.record_suspects(TICK_MS);
                self.schedule(TICK_MS, ScheduledEvent::Tick);
            }
            ScheduledEvent::StartWave => self.start_wave(),
            ScheduledEvent::EndWave => self.count_late_upkeeps(),
            ScheduledEvent::DegradeExecutors => self.degrade_executors(),
            ScheduledEvent::RestoreExecutors => self.restore_executors(),
            ScheduledEvent::Reconfigure => self.reconfigure(),
            ScheduledEvent::Announce(executor) => self.announce(executor),
            ScheduledEvent::DeliverAnnouncement(announcement) => {
                self.deliver_announcement(announcement);
            }
            ScheduledEvent::Submit(queue) => {
                self.submit(queue, false);
                self.schedule_submission(queue, 0);
            }
            ScheduledEvent::RecheckRate(queue) => self.schedule_submission(queue, 0),
            ScheduledEvent::Resubmit(job) => self.resubmit(job),
            ScheduledEvent::Cancel(job) => self.cancel(job),
            ScheduledEvent::Commit(epoch, decision) => self.on_commit(epoch, decision),
            ScheduledEvent::DeliverCall {
                epoch,
                fence,
                executor,
                key,
                call,
                delayed,
                answered,
                relayed,
            } => self.deliver_call(
                (epoch, fence),
                executor,
                (key, &call),
                (delayed, answered),
                relayed,
            ),
            ScheduledEvent::RelayHeartbeat(relay) => self.relay_heartbeat(relay),
            ScheduledEvent::ArriveAtRelay(arrival) => self.arrive_at_relay(arrival),
            ScheduledEvent::RelayedResult {
                epoch,
                number,
                result,
            } => self.handle_relayed_result(epoch, number, result),
            ScheduledEvent::DisturbRelay => {
                self.disturb_relay();
                let mean = self.scenario.faults.relay_fault_interval_ms;
                self.schedule_fault(mean, ScheduledEvent::DisturbRelay);
            }
            ScheduledEvent::DeliverEvent(epoch, event) => self.notify_leader(epoch, event),
            ScheduledEvent::AdvanceExecutor(executor) => self.advance(executor),
            ScheduledEvent::HoldTimeout(executor) => {
                let due = self
                    .pending_holds
                    .get(&executor)
                    .is_some_and(|hold| hold.until <= self.now);
                if due {
                    self.answer_hold(executor);
                }
            }
            ScheduledEvent::CrashExecutor => {
                self.crash_executor();
                self.schedule_fault(
                    self.scenario.faults.crash_interval_ms,
                    ScheduledEvent::CrashExecutor,
                );
            }
            ScheduledEvent::LetExecutorLeave => {
                self.let_executor_leave();
                let mean = self.scenario.faults.leave_interval_ms;
                self.schedule_fault(mean, ScheduledEvent::LetExecutorLeave);
            }
            ScheduledEvent::EndLeaving(executor) => self.end_leaving(executor),
            ScheduledEvent::Depart(departure) => self.depart(departure),
            ScheduledEvent::ShrinkCapacity => {
                self.shrink_capacity();
                let mean = self.scenario.faults.capacity_change_interval_ms;
                self.schedule_fault(mean, ScheduledEvent::ShrinkCapacity);
            }
            ScheduledEvent::RestoreCapacity(executor) => self.restore_capacity(executor),
            ScheduledEvent::CrashByRun(executor, run) => self.crash_by_run(executor, run),
            ScheduledEvent::PartitionExecutor => {
                let executor = self.rng.random_range(0..self.executors.len());
                let duration = self.rng.random_range(500..9_000);
                self.cut_off(executor, duration);
                self.schedule_fault(
                    self.scenario.faults.partition_interval_ms,
                    ScheduledEvent::PartitionExecutor,
                );
            }
            ScheduledEvent::CutOff(executor, duration) => self.cut_off(executor, duration),
            ScheduledEvent::ChangeLeader => {
                self.change_leader();
                let mean = self.scenario.faults.leader_change_interval_ms;
                self.schedule_fault(mean, ScheduledEvent::ChangeLeader);
            }
            ScheduledEvent::HostReturns(host) => self.start_executor(host),
        }
    }

    /// Passes an event to the leader, unless another one has taken over since `epoch`.
    fn notify_leader(&mut self, epoch: u64, event: Event) {
        if epoch == self.epoch {
            self.report.events += 1;
            let started = Instant::now();
            self.leader.handle(moment(self.now), event);
            self.decision_time += started.elapsed();
        }
    }

    /// Lets the leader decide, and schedules the commit of its decision.
    fn decide(&mut self) {
        self.expire_relayed_calls();
        let started = Instant::now();
        let mut decision = self.leader.decide(moment(self.now));
        self.decision_time += started.elapsed();
        if self.scenario.defect == Some(Defect::AcknowledgeBeforeCommit) {
            let is_poll = |effect: &mut Effect| matches!(effect, Effect::Call { call, .. } if matches!(call, Call::Hold { .. }));
            let polls: Vec<_> = decision.after_commit.extract_if(.., is_poll).collect();
            for poll in polls {
                self.perform(poll);
            }
        }
        if decision == Decision::default() {
            return;
        }
        // Without commands nothing needs a commit, but effects wait for those of earlier decisions.
        let after = if decision.commands.is_empty() && self.uncommitted == 0 {
            0
        } else {
            self.commit_time()
        };
        self.uncommitted += 1;
        self.last_commit = self.now + after;
        self.schedule(after, ScheduledEvent::Commit(self.epoch, decision));
    }

    /// Returns the time until the next decision is committed, in milliseconds; decisions are committed in
    /// their order.
    fn commit_time(&mut self) -> u64 {
        let share = self.scenario.faults.slow_commits;
        let time = if share > 0.0 && self.rng.random_bool(share) {
            self.rng.random_range(SLOW_COMMIT_MS)
        } else {
            COMMIT_MS
        };
        time.max(self.last_commit.saturating_sub(self.now))
    }

    /// Applies the commands of a committed decision, and carries out its effects.
    fn on_commit(&mut self, epoch: u64, decision: Decision) {
        if epoch != self.epoch {
            return;
        }
        self.uncommitted -= 1;
        for command in decision.commands {
            self.apply(command);
        }
        for effect in decision.after_commit {
            self.perform(effect);
        }
    }

    fn apply(&mut self, command: Command) {
        self.claims
            .record(Duration::from_millis(self.now), &command);
        if let Command::Enlist {
            executor,
            incarnation,
        } = &command
        {
            self.started_by_key
                .insert(*executor, incarnation.started_ms);
            let incarnation = (Arc::clone(&incarnation.id), incarnation.started_ms);
            *self.enlisted.entry(incarnation).or_default() += 1;
        }
        let started = match &command {
            Command::Start { run, executor } => Some((*run, *executor)),
            _ => None,
        };
        self.state.apply(command);
        if let Some((run, executor)) = started {
            self.check_placement(run, executor);
            self.check_committed_start(run);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                reply_to: reply_id,
                reply,
            } => self.on_reply(reply_id, &reply),
            Effect::Call {
                executor: key,
                id,
                address,
                mut call,
            } => {
                let now = moment(self.now);
                if !self.leader.prepare_call(now, key, &mut call) {
                    let unanswered = CallTag::new(key, &call).unanswered();
                    return self.notify_leader(self.epoch, unanswered);
                }
                let call = ExecutorCall {
                    executor: key,
                    id,
                    address,
                    term: self.epoch,
                    decided: Duration::from_millis(self.now),
                    call,
                };
                if let Some(call) = self.send_through_relay(call) {
                    self.call_executor(&call, None);
                }
            }
            Effect::ListHosts => {
                let hosts = Some(self.list_hosts());
                self.schedule(
                    4,
                    ScheduledEvent::DeliverEvent(self.epoch, Event::HostList { hosts }),
                );
            }
            Effect::OrderHost {
                host,
                claim,
                number,
            } => self.order_host(host, claim, number),
            Effect::Disconnect { .. } => {}
        }
    }

    /// Makes another replica the leader, with the committed state.
    ///
    /// Callers repeat the requests that have no answer.
    fn change_leader(&mut self) {
        let pending: Vec<_> = self
            .pending_events
            .iter()
            .filter(|(_, event)| matches!(event, ScheduledEvent::Commit(epoch, _) if *epoch == self.epoch))
            .map(|(key, _)| *key)
            .collect();
        // The first few pending decisions are still committed, but their effects are lost.
        let committed = self.rng.random_range(0..=pending.len());
        for (number, key) in pending.into_iter().enumerate() {
            if let Some(ScheduledEvent::Commit(_, decision)) = self.pending_events.remove(&key)
                && number < committed
            {
                for command in decision.commands {
                    self.apply(command);
                }
            }
        }
        self.uncommitted = 0;
        self.last_commit = self.now;
        self.check_counts();
        self.epoch += 1;
        if self.epoch.is_multiple_of(2) {
            // Every other replica that takes over has just restarted and has observed no claims.
            self.claims = ClaimWatch::new(moment(self.now).monotonic);
        }
        self.relays = Relays::new(relay_options());
        self.leader = Leader::new(
            self.state.clone(),
            leader_options(&self.scenario),
            self.claims.clone(),
            moment(self.now),
        );
        for (_, (job, is_cancel)) in std::mem::take(&mut self.pending_requests) {
            let retry = if is_cancel {
                ScheduledEvent::Cancel(job)
            } else {
                ScheduledEvent::Resubmit(job)
            };
            self.schedule(REQUEST_RETRY_MS, retry);
        }
    }

    /// Returns the time by which jobs that can be done must have ended.
    const fn settled_at(&self) -> u64 {
        WARMUP_MS + self.scenario.load_ms + self.scenario.settle_ms
    }

    /// Completes the report with the outcomes of the jobs.
    fn into_report(mut self) -> Report {
        let (mut owed, mut earned) = (0.0, 0.0);
        let settled_at = self.settled_at();
        for (job, submitted) in &self.checker.jobs {
            if submitted.spec.is_long_running() {
                continue;
            }
            if let Some(ended_at) = submitted.ended_at
                && ended_at > settled_at
                && submitted.crashing_task.is_none()
            {
                let text = format!("job {job} ended at {ended_at}, after {settled_at}");
                self.checker.violations.push(text);
            }
            // A job that crashes executors cannot be done, and earns nothing.
            let can_be_done = submitted.crashing_task.is_none();
            let credit = if can_be_done {
                1.0 + submitted.spec.work()
            } else {
                0.0
            };
            self.report.submitted += 1;
            let accepted = submitted.accepted && submitted.cancelled_at.is_none();
            self.report.crashing_jobs += u32::from(!can_be_done && accepted);
            owed += credit;
            let duration = submitted
                .ended_at
                .map(|ended_at| ended_at - submitted.submitted_at);
            if can_be_done && submitted.cancelled_at.is_none() {
                let served = submitted.completed
                    && duration.is_some_and(|duration| duration <= 3 * submitted.objective_ms);
                self.report.without_fault += 1;
                self.report.served_without_fault += u32::from(served);
            }
            match duration {
                _ if submitted.refused => self.report.refused += 1,
                Some(duration) if submitted.completed && duration <= submitted.objective_ms => {
                    self.report.on_time += 1;
                    earned += credit;
                }
                Some(duration) if submitted.completed => {
                    self.report.late += 1;
                    if duration <= 3 * submitted.objective_ms {
                        earned += LATE_CREDIT * credit;
                    } else {
                        self.report.too_late += 1;
                    }
                }
                Some(_) => {
                    self.report.cancelled_or_failed += 1;
                    if submitted.cancelled_at.is_some() {
                        owed -= credit;
                    } else {
                        self.report.failed += 1;
                        self.report.failed_without_fault +=
                            u32::from(submitted.crashing_task.is_none());
                    }
                }
                None if submitted.accepted => {
                    self.report.unfinished += 1;
                    let record = self.state.job(*job);
                    let text = format!(
                        "accepted job {job}, submitted at {}, has not ended: {record:?}",
                        submitted.submitted_at
                    );
                    self.checker.violations.push(text);
                }
                None => {}
            }
        }
        self.report.shares = Shares::of(&self.scenario, &self.checker);
        self.report.worth = if owed > 0.0 { earned / owed } else { 1.0 };
        self.report.most_crashes_of_a_task = self.checker.most_crashes();
        self.report.longest_suspect_wait = self.suspect_waits.longest;
        self.report.mean_waiting_suspects = self.suspect_waits.mean();
        self.report.over_capacity = self.checker.over_capacity;
        self.report.duplicate_runs = self.checker.duplicate_runs;
        self.report.violations = self.checker.violations;
        self.report
    }
}

fn leader_options(scenario: &Scenario) -> LeaderOptions {
    let options = LeaderOptions::new(Duration::from_secs(5))
        .with_defect(scenario.defect)
        .order(scenario.order)
        .load_shedding(scenario.load_shedding)
        .pool_forecast(scenario.pool_forecast);
    options.hosts(HostOptions {
        move_time: Duration::from_millis(MOVE_MS),
        upkeep_time: Duration::from_secs(2),
        handover: Duration::from_millis(HANDOVER_MS),
        orders_per_s: (scenario.orders_per_s > 0).then_some(scenario.orders_per_s),
    })
}

/// Relays are used whatever the number of executors.
fn relay_options() -> RelayOptions {
    RelayOptions {
        min_executors: 0,
        ..RelayOptions::new()
    }
}

fn moment(now: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(now),
        wall_ms: START_WALL_MS + now,
    }
}
