//! The leader: state, event dispatch and periodic checks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::executor::{ExecutorView, RunLocation, RunOrigin, RunPhase, RunView, Suspicion};
use super::hosts::Hosts;
use super::lapsed::LapsedRuns;
use super::load_shedding::LoadShedding;
use super::pending_job::PendingJob;
use super::rejected_starts::RejectedStarts;
use super::shares::Shares;
use super::{ClaimWatch, Decision, Effect, Event, LeaderOptions, Moment};
use crate::job::{JobId, RunId, TaskId};
use crate::queue::{KeyDigest, RouteTable, WorkspaceId};
use crate::relay::CALL_VALIDITY;
use crate::schedule::{OfferedLoad, Rank, SurgePattern, lease_end};
use crate::state::{Command, ExecutorKey, JobPhase, State};

/// Interval of checks for changes that no event announces.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of commands that remove ended jobs.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Decides for the leading replica which tasks run where, and what happens to hosts.
#[derive(Debug)]
pub struct Leader {
    pub(super) options: LeaderOptions,
    /// The replicated state, with every proposed command applied.
    pub(super) state: State,
    /// Routes of the configuration in force.
    pub(super) routes: RouteTable,
    pub(super) executors: BTreeMap<ExecutorKey, ExecutorView>,
    /// Key of the latest incarnation of each executor, by identifier.
    pub(super) key_by_id: BTreeMap<Arc<str>, ExecutorKey>,
    /// Jobs with tasks that are ready to start, by pool.
    pub(super) pending: BTreeMap<Arc<str>, BTreeSet<(Rank, JobId)>>,
    /// Each job in `pending`.
    pub(super) pending_jobs: HashMap<JobId, PendingJob>,
    /// Executors of each pool.
    pub(super) pool_executors: BTreeMap<Arc<str>, BTreeSet<ExecutorKey>>,
    /// Due times of future occurrences, in milliseconds since the Unix epoch, with their jobs.
    pub(super) upcoming: BTreeSet<(u64, JobId)>,
    /// Pools to plan again with the next decision.
    pub(super) changed_pools: BTreeSet<Arc<str>>,
    /// The next decision, as far as it is made.
    pub(super) decision: Decision,
    pub(super) hosts: Hosts,
    /// Time between an executor's answer to a poll and the next poll.
    pub(super) poll_interval: Duration,
    /// Executor and time of the latest failure of each task of an open job.
    pub(super) last_failures: BTreeMap<TaskId, (ExecutorKey, Duration)>,
    /// Tasks of open jobs whose starts executors reject as malformed.
    pub(super) rejected_starts: BTreeMap<TaskId, RejectedStarts>,
    pub(super) lapsed: LapsedRuns,
    /// Time of the latest crash of an executor under each task of an open job.
    pub(super) crash_times: BTreeMap<TaskId, Duration>,
    /// Rate of work from submitted jobs, by pool.
    pub(super) offered_load: BTreeMap<Arc<str>, OfferedLoad>,
    /// Each job in `pending` that belongs to a workspace.
    pub(super) pending_of: BTreeMap<WorkspaceId, BTreeSet<JobId>>,
    /// Jobs refused for the quota of each workspace.
    pub(super) quota_refusals: BTreeMap<WorkspaceId, u64>,
    /// Jobs that were logged as waiting for their quota.
    pub(super) quota_waits: BTreeSet<JobId>,
    /// Keys of the configuration before the one in force; kept only for a defect in tests.
    pub(super) former_keys: HashMap<KeyDigest, WorkspaceId>,
    pub(super) load_shedding: LoadShedding,
    pub(super) shares: Shares,
    /// Surges of the pools' load, and when the next ones are expected.
    pub(super) surges: SurgePattern,
    /// Moves to standby that may be made now; `None` until the first check.
    pub(super) release_budget: Option<f64>,
    /// Time by which every lease has certainly expired that a later incarnation may have got from calls
    /// for one that is removed, by identifier.
    pub(super) removed_leases_end: BTreeMap<Arc<str>, Duration>,
    /// The same for one that a former leader has removed.
    pub(super) takeover_leases_end: Duration,
    /// Time until which the latest removed incarnation is recorded, by identifier.
    pub(super) removed_until: BTreeMap<Arc<str>, Duration>,
    /// Time at which this leadership began.
    pub(super) leading_since: Duration,
    last_check: Duration,
    last_forget: Duration,
}

impl Leader {
    /// Creates a leader that takes over the committed state when the replica is elected.
    ///
    /// `claims` holds the times at which former leaders last claimed hosts.
    pub fn new(state: State, options: LeaderOptions, claims: ClaimWatch, now: Moment) -> Self {
        let mut leader = Self {
            options,
            routes: RouteTable::default(),
            executors: BTreeMap::new(),
            key_by_id: BTreeMap::new(),
            pending: BTreeMap::new(),
            pending_jobs: HashMap::new(),
            pool_executors: BTreeMap::new(),
            upcoming: BTreeSet::new(),
            changed_pools: BTreeSet::new(),
            decision: Decision::default(),
            hosts: Hosts::new(claims, state.claim_times().clone(), now.monotonic),
            poll_interval: Duration::ZERO,
            last_failures: BTreeMap::new(),
            rejected_starts: BTreeMap::new(),
            lapsed: LapsedRuns::default(),
            crash_times: BTreeMap::new(),
            offered_load: BTreeMap::new(),
            pending_of: BTreeMap::new(),
            quota_refusals: BTreeMap::new(),
            quota_waits: BTreeSet::new(),
            former_keys: HashMap::new(),
            load_shedding: LoadShedding::default(),
            shares: Shares::default(),
            surges: SurgePattern::default(),
            release_budget: None,
            removed_leases_end: BTreeMap::new(),
            takeover_leases_end: Duration::ZERO,
            removed_until: BTreeMap::new(),
            leading_since: now.monotonic,
            last_check: Duration::ZERO,
            last_forget: now.monotonic,
            state,
        };
        leader.take_over(now);
        leader
    }

    /// Returns the state with every proposed command applied.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Returns the number of executors that the leader knows.
    pub fn executor_count(&self) -> usize {
        self.executors.len()
    }

    /// Processes an event; its consequences are part of the next decision.
    pub fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::JobRequest { reply_to, request } => self.on_job_request(now, reply_to, request),
            Event::Configure { .. } => self.on_configure(now, event),
            Event::Announced {
                reply_to,
                announcement,
            } => self.on_announcement(now, reply_to, &announcement),
            Event::AnnouncedAgain(announcement) => {
                self.on_repeated_announcement(now, &announcement);
            }
            Event::Left {
                reply_to,
                departure,
            } => self.on_left(now, reply_to, &departure),
            Event::Wave { reply_to, order } => self.on_wave(now, reply_to, order),
            Event::HostList { hosts } => self.on_host_list(now, hosts),
            Event::PartialHostList { hosts } => self.on_partial_host_list(now, hosts),
            Event::HostOrderResult {
                host,
                claim,
                result,
            } => self.on_host_order_result(now, &host, &claim, result),
            Event::StartResult {
                executor,
                run,
                result,
            } => self.on_start_result(now, executor, run, result),
            Event::StopResult {
                executor,
                run,
                result,
            } => self.on_stop_result(now, executor, run, result),
            Event::HoldResult {
                executor,
                sent,
                result,
            } => self.on_hold_result(now, executor, sent, result),
        }
    }

    /// Returns the consequences of the events since the last call and of the passing of time.
    pub fn decide(&mut self, now: Moment) -> Decision {
        if now.monotonic >= self.last_check + CHECK_INTERVAL {
            self.last_check = now.monotonic;
            self.check_upcoming(now);
            self.check_executors(now);
            self.check_hosts(now);
            self.forget_ended_jobs(now);
            self.forget_removed(now);
            self.note_quota_waits();
            // Executors become usable again by the passing of time, without an event.
            let pending = self.pending.iter().filter(|(_, jobs)| !jobs.is_empty());
            self.changed_pools
                .extend(pending.map(|(pool, _)| Arc::clone(pool)));
        }
        self.plan(now);
        std::mem::take(&mut self.decision)
    }

    /// Returns the monotonic time by which [`decide`](Self::decide) must be called even without an
    /// event.
    pub fn next_check(&self) -> Duration {
        self.last_check + CHECK_INTERVAL
    }

    /// Applies a command to the leader's copy of the state and adds it to the decision; returns
    /// whether it changed the state.
    pub(super) fn propose(&mut self, command: Command) -> bool {
        let changed = self.state.apply(command.clone());
        if changed {
            self.decision.commands.push(command);
        }
        changed
    }

    /// Adds an effect to the decision.
    pub(super) fn after_commit(&mut self, effect: Effect) {
        self.decision.after_commit.push(effect);
    }

    pub(super) fn on_config_change(&mut self, now: Moment) {
        self.load_routes();
        self.configure_load_shedding();
        let mut jobs: Vec<_> = self.pending_jobs.keys().copied().collect();
        jobs.sort_unstable();
        for job in jobs {
            self.update_pending(now, job);
        }
    }

    fn load_routes(&mut self) {
        let state = &self.state;
        let Some(stored) = state.config() else {
            return;
        };
        self.routes = state.route_table(&stored.config);
    }

    /// Builds the leader's views of all executors, runs and jobs in the state.
    fn take_over(&mut self, now: Moment) {
        self.load_routes();
        self.configure_load_shedding();
        self.rebuild_shares(now);
        let former_leases_end = lease_end(now.monotonic, self.options.lease);
        let longest_leases_end = lease_end(now.monotonic + CALL_VALIDITY, self.options.max_lease);
        if self.state.next_executor_key() > ExecutorKey(1) {
            self.takeover_leases_end = longest_leases_end;
        }
        let executors: Vec<_> = self.state.executors().map(|(key, _)| key).collect();
        for key in executors {
            let Some(record) = self.state.executor(key) else {
                continue;
            };
            let runs: Vec<_> = record.runs.iter().copied().collect();
            self.key_by_id
                .insert(Arc::clone(&record.incarnation.id), key);
            self.pool_executors
                .entry(Arc::clone(&record.incarnation.pool))
                .or_default()
                .insert(key);
            let mut view = if self.state.may_have_former_leases(key) {
                ExecutorView::new(longest_leases_end)
            } else {
                ExecutorView::new(former_leases_end)
            };
            // The former leader may have called the executor until now.
            view.lease_extended_at = now.monotonic;
            view.pending_former_lease = self.pending_former_lease(&record.incarnation.id, None);
            // The former leader's request may still take its host away.
            let mut claims = self.state.claims().values();
            view.cordoned = claims.any(|(_, executor)| *executor == Some(key));
            for run in runs {
                view.add_run(run, self.new_run_view(now, run, RunPhase::Inherited));
            }
            self.executors.insert(key, view);
            self.take_over_lapsed(now, key);
        }
        self.take_over_crash_times(now);
        self.take_over_removed(now);
        let jobs: Vec<_> = self.state.jobs().map(|(job, _)| job).collect();
        for job in jobs {
            self.update_pending(now, job);
        }
        self.restore_offered(now);
    }

    /// Creates the view of a run that is placed or inherited now.
    pub(super) fn new_run_view(&self, now: Moment, run: RunId, phase: RunPhase) -> RunView {
        let job = self.state.job(run.task.job);
        let spec = job.and_then(|job| job.spec.as_ref());
        let step = spec.and_then(|spec| spec.steps.get(usize::from(run.task.step)));
        RunView {
            phase,
            placed_at: now.monotonic,
            baseline: None,
            estimate: Duration::from_millis(step.map_or(0, |step| step.estimate_ms)),
            reserved: step.map(crate::job::StepSpec::reserved).unwrap_or_default(),
            pending_starts: 0,
            long_running: step.is_some_and(|step| step.long_running),
            best_effort: step.is_some_and(|step| step.best_effort),
            origin: if phase == RunPhase::Inherited {
                RunOrigin::Inherited
            } else {
                RunOrigin::Placed
            },
            location: if self.state.is_located(run) {
                RunLocation::Recorded
            } else {
                RunLocation::ThisOrLater
            },
            suspicion: if self.is_suspected(run.task) {
                Suspicion::Suspected
            } else {
                Suspicion::None
            },
            percent: 0,
            served_at: None,
        }
    }

    fn forget_ended_jobs(&mut self, now: Moment) {
        if now.monotonic < self.last_forget + FORGET_INTERVAL {
            return;
        }
        self.last_forget = now.monotonic;
        let keep = u64::try_from(self.options.keep_ended.as_millis()).unwrap_or(u64::MAX);
        let before_ms = now.wall_ms.saturating_sub(keep);
        self.propose(Command::Forget { before_ms });
        let state = &self.state;
        let open = |job| {
            state
                .job(job)
                .is_some_and(|job| job.phase == JobPhase::Open)
        };
        self.last_failures.retain(|task, _| open(task.job));
        self.crash_times.retain(|task, _| open(task.job));
        self.rejected_starts.retain(|task, _| open(task.job));
        self.quota_waits.retain(|job| open(*job));
        self.load_shedding.forget(now, open);
        self.shares.forget(open);
    }
}
