//! The leading replica's decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::executor::{ExecutorView, RunPhase, RunView};
use super::hosts::Hosts;
use super::{ClaimWatch, Decision, Effect, Event, LeaderOptions, Moment};
use crate::job::{JobId, RunId, TaskId};
use crate::queue::RouteTable;
use crate::schedule::{OfferedLoad, Rank, lease_end};
use crate::state::{Command, ExecutorKey, JobPhase, State};

/// Time between two looks at what time alone changes.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Time between two commands that forget ended jobs.
const FORGET_EVERY: Duration = Duration::from_secs(10);

/// The leading replica's decisions.
#[derive(Debug)]
pub struct Leader {
    pub(super) options: LeaderOptions,
    /// With everything that was proposed.
    pub(super) state: State,
    pub(super) routes: RouteTable,
    pub(super) executors: BTreeMap<ExecutorKey, ExecutorView>,
    /// The latest life by identifier.
    pub(super) by_id: BTreeMap<Arc<str>, ExecutorKey>,
    /// Jobs with tasks that can start, by pool.
    pub(super) pending: BTreeMap<Arc<str>, BTreeSet<(Rank, JobId)>>,
    /// Where each of them stands in `pending`.
    pub(super) ranks: BTreeMap<JobId, (Arc<str>, Rank)>,
    /// Occurrences that are not due yet.
    pub(super) due: BTreeSet<(u64, JobId)>,
    /// Pools in which something has changed since the last turn.
    pub(super) changed: BTreeSet<Arc<str>>,
    pub(super) turn: Decision,
    pub(super) hosts: Hosts,
    /// Time between an answer of an executor and the next question.
    pub(super) poll_interval: Duration,
    /// Where tasks of open jobs have failed last, and when.
    pub(super) failed_on: BTreeMap<TaskId, (ExecutorKey, Duration)>,
    /// Work that jobs have brought of late, by pool.
    pub(super) offered: BTreeMap<Arc<str>, OfferedLoad>,
    checked: Duration,
    forgot: Duration,
}

impl Leader {
    /// Takes over a state at the moment of the election; `claims` tells when hosts were last
    /// claimed by former leaders.
    pub fn new(state: State, options: LeaderOptions, claims: ClaimWatch, now: Moment) -> Self {
        let mut leader = Self {
            options,
            routes: RouteTable::default(),
            executors: BTreeMap::new(),
            by_id: BTreeMap::new(),
            pending: BTreeMap::new(),
            ranks: BTreeMap::new(),
            due: BTreeSet::new(),
            changed: BTreeSet::new(),
            turn: Decision::default(),
            hosts: Hosts::new(claims, now.monotonic),
            poll_interval: Duration::ZERO,
            failed_on: BTreeMap::new(),
            offered: BTreeMap::new(),
            checked: Duration::ZERO,
            forgot: now.monotonic,
            state,
        };
        leader.inherit(now);
        leader
    }

    /// The state with everything that was proposed.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::JobRequest {
                reply_to: ask,
                request: intake,
            } => self.on_asked(now, ask, intake),
            Event::Configure { .. } => self.on_configure(now, event),
            Event::Announced {
                reply_to: ask,
                announcement,
            } => self.on_announced(now, ask, &announcement),
            Event::Left { reply_to: ask, id } => self.on_left(now, ask, &id),
            Event::Wave {
                reply_to: ask,
                order,
            } => self.on_wave(now, ask, order),
            Event::HostList { hosts } => self.on_listed(now, hosts),
            Event::HostOrderResult {
                host,
                claim,
                result,
            } => self.on_host_ordered(now, &host, &claim, result),
            Event::StartResult {
                executor,
                run,
                result,
            } => self.on_started(now, executor, run, result),
            Event::StopResult {
                executor,
                run,
                result,
            } => self.on_stopped(now, executor, run, result),
            Event::HoldResult {
                executor,
                sent,
                result,
            } => self.on_held(now, executor, sent, result),
        }
    }

    /// Decides what follows from the events and the time.
    pub fn decide(&mut self, now: Moment) -> Decision {
        if now.monotonic >= self.checked + CHECK_EVERY {
            self.checked = now.monotonic;
            self.check_due(now);
            self.check_executors(now);
            self.check_hosts(now);
            self.forget(now);
            // Time alone makes executors usable again.
            let pending = self.pending.iter().filter(|(_, jobs)| !jobs.is_empty());
            self.changed
                .extend(pending.map(|(pool, _)| Arc::clone(pool)));
        }
        self.plan(now);
        std::mem::take(&mut self.turn)
    }

    /// When [`turn`](Self::decide) is to be called without an event.
    pub fn next_check(&self) -> Duration {
        self.checked + CHECK_EVERY
    }

    /// Applies a command and puts it into the turn; says whether it changed anything.
    pub(super) fn commit(&mut self, command: Command) -> bool {
        let changed = self.state.apply(command.clone());
        if changed {
            self.turn.commands.push(command);
        }
        changed
    }

    pub(super) fn then(&mut self, effect: Effect) {
        self.turn.after_commit.push(effect);
    }

    pub(super) fn reconfigured(&mut self, now: Moment) {
        self.read_config();
        let jobs: Vec<_> = self.ranks.keys().copied().collect();
        for job in jobs {
            self.refresh(now, job);
        }
    }

    fn read_config(&mut self) {
        let state = &self.state;
        let Some(stored) = state.config() else {
            return;
        };
        self.routes = state.route_table(&stored.config);
    }

    fn inherit(&mut self, now: Moment) {
        self.read_config();
        let earlier_leases = lease_end(now.monotonic, self.options.lease);
        let executors: Vec<_> = self.state.executors().map(|(key, _)| key).collect();
        for key in executors {
            let Some(record) = self.state.executor(key) else {
                continue;
            };
            let runs: Vec<_> = record.runs.iter().copied().collect();
            self.by_id.insert(Arc::clone(&record.incarnation.id), key);
            let mut view = ExecutorView::new(earlier_leases);
            for run in runs {
                view.add(run, self.run_view(now, run, RunPhase::Inherited));
            }
            self.executors.insert(key, view);
        }
        let jobs: Vec<_> = self.state.jobs().map(|(job, _)| job).collect();
        for job in jobs {
            self.refresh(now, job);
        }
    }

    /// What is kept of a run on its executor.
    pub(super) fn run_view(&self, now: Moment, run: RunId, phase: RunPhase) -> RunView {
        let job = self.state.job(run.task.job);
        let spec = job.and_then(|job| job.spec.as_ref());
        let step = spec.and_then(|spec| spec.steps.get(usize::from(run.task.step)));
        RunView {
            phase,
            placed: now.monotonic,
            began: None,
            estimate: Duration::from_millis(step.map_or(0, |step| step.estimate_ms)),
            reserved: step.map(crate::job::StepSpec::reserved).unwrap_or_default(),
            open_tries: 0,
            lasting: step.is_some_and(|step| step.long_running),
            filler: step.is_some_and(|step| step.best_effort),
            percent: 0,
        }
    }

    fn forget(&mut self, now: Moment) {
        if now.monotonic < self.forgot + FORGET_EVERY {
            return;
        }
        self.forgot = now.monotonic;
        let keep = u64::try_from(self.options.keep_ended.as_millis()).unwrap_or(u64::MAX);
        let before_ms = now.wall_ms.saturating_sub(keep);
        self.commit(Command::Forget { before_ms });
        let state = &self.state;
        let open = |job| {
            state
                .job(job)
                .is_some_and(|job| job.phase == JobPhase::Open)
        };
        self.failed_on.retain(|task, _| open(task.job));
    }
}
