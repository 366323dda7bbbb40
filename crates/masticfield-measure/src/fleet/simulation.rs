//! Simulation of one planner variant on the model of the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::fleet::{
    Action, Generation, HostHealth, Ownership, Planned, Reason, TaskPhase,
};
use masticfield_core::note::{JobPriority, ReleaseNote};
use masticfield_core::platform::WorkerReports;
use masticfield_fake::platform::{FakePlatform, Timings};
use masticfield_fleet::ControlLoop;

use super::report::Report;
use super::{PlannerVariant, bounds};
use crate::experiment::ExperimentError;

/// Time between two simulation steps while the scenario changes the fleet.
const STEP: Duration = Duration::from_secs(1);

/// Time between two simulation steps in the quiet period; shorter than the leases.
const QUIET_STEP: Duration = Duration::from_secs(30);

/// Length of a maintenance outage, which the availability budget has to cover.
const MAINTENANCE_OUTAGE: Duration = Duration::from_mins(10);

/// State of one simulation and the results collected so far.
pub(super) struct Simulation {
    pub(super) platform: FakePlatform,
    pub(super) control: ControlLoop,
    pub(super) report: Report,
    now: Duration,
    step: Duration,
    /// Simulated time so far, in seconds.
    observed_s: f64,
    /// Real time of each step of the control loop, in milliseconds.
    step_ms: Vec<f64>,
    /// Release and start of each urgent task, by job and index.
    urgent_tasks: BTreeMap<(Arc<str>, u32), (Duration, Option<Duration>)>,
    /// Start of the roll-out in progress.
    rollout_since: Option<Duration>,
}

impl Simulation {
    pub(super) fn new(variant: PlannerVariant) -> Self {
        Self {
            platform: FakePlatform::new(Timings::default(), []),
            control: ControlLoop::new(variant.planner),
            report: Report::default(),
            now: Duration::from_hours(24 * 365),
            step: STEP,
            observed_s: 0.0,
            step_ms: Vec::new(),
            urgent_tasks: BTreeMap::new(),
            rollout_since: None,
        }
    }

    /// Puts a release note in force, as its commit would.
    pub(super) fn apply(&mut self, note: &ReleaseNote) -> Result<(), ExperimentError> {
        let config = self.control.config().apply(note)?;
        for host in &note.added.hosts {
            self.platform.add_worker(host.clone());
        }
        for job in &note.added.jobs {
            if job.priority == JobPriority::Urgent && note.number > 1 {
                let tasks = (0..job.tasks).map(|index| (Arc::clone(&job.name), index));
                self.urgent_tasks
                    .extend(tasks.map(|task| (task, (self.now, None))));
            }
        }
        self.control.set_config(config);
        self.rollout_since = Some(self.now);
        self.report.rollout_s.push(None);
        Ok(())
    }

    /// Advances the simulation by `duration`.
    pub(super) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by `duration` in longer steps, while nothing else changes.
    pub(super) fn run_quiet(&mut self, duration: Duration) {
        self.step = QUIET_STEP;
        self.run(duration);
        self.step = STEP;
    }

    /// Adds the moves that the loss of `hosts` requires to the lower bound.
    ///
    /// `hosts_return` adds the moves that refill the spare pool once the hosts are back.
    pub(super) fn add_loss_bound(&mut self, hosts: &[Arc<str>], hosts_return: bool) {
        let bound =
            bounds::min_moves_after_loss(self.control.config(), self.control.hosts(), hosts);
        self.report.moves_lower_bound +=
            bound.replaced + if hosts_return { bound.refilled } else { 0 };
    }

    /// Fails hosts until they are repaired.
    pub(super) fn lose(&mut self, hosts: &[Arc<str>]) {
        self.add_loss_bound(hosts, true);
        for host in hosts {
            self.platform.fail(host);
        }
    }

    pub(super) fn repair(&mut self, hosts: &[Arc<str>]) {
        for host in hosts {
            self.platform.repair(host);
        }
    }

    /// Ends the simulation and returns its results.
    pub(super) fn finish(mut self) -> Report {
        let tasks = self.urgent_tasks.values();
        let waits =
            tasks.filter_map(|(since, started)| Some(started.as_ref()?.saturating_sub(*since)));
        let mut waits: Vec<_> = waits.map(|wait| wait.as_secs_f64()).collect();
        self.report.plan_ms_p99 = percentile_99(&mut self.step_ms);
        self.report.urgent_start_p99_s = percentile_99(&mut waits);
        self.report.urgent_started = (waits.len(), self.urgent_tasks.len());
        self.report.buffer_hosts /= self.observed_s;
        self.report.buffer_held /= self.observed_s;
        self.report.buffer_lower_bound /= self.observed_s;
        let config = self.control.config();
        let maintained = config.hosts().keys().filter(|host| {
            let record = self.control.hosts().get(host);
            record.is_some_and(|record| !record.last_maintained.is_empty())
        });
        self.report.maintained = maintained.count();
        self.report.hosts = config.hosts().len();
        self.report.stranded_tasks = self.stranded_tasks();
        self.report
    }

    fn step(&mut self) {
        self.now += self.step;
        self.platform.advance(self.now);
        let reports = self.platform.reports(self.control.cursor());
        self.record_urgent_starts(&reports);
        let before = self.generations();
        let start = Instant::now();
        let output = self.control.step(self.now, reports);
        self.step_ms.push(start.elapsed().as_secs_f64() * 1_000.0);
        for planned in &output.planned {
            self.record_action(planned, &before);
        }
        for order in output.orders {
            self.platform.execute(order);
        }
        if self.platform.duplicated_tasks() > 0 {
            self.report.doubled_tasks += 1;
        }
        self.record_buffer();
        self.record_rollout_end();
    }

    fn record_urgent_starts(&mut self, reports: &WorkerReports) {
        for task in &reports.tasks {
            let urgent = self
                .urgent_tasks
                .get_mut(&(Arc::clone(&task.job), task.index));
            if let Some((_, started)) = urgent
                && started.is_none()
                && task.phase != TaskPhase::Starting
            {
                *started = Some(self.now);
            }
        }
    }

    fn generations(&self) -> BTreeMap<Arc<str>, Generation> {
        let hosts = self.control.hosts().iter();
        hosts
            .map(|(host, record)| (Arc::clone(host), record.ownership.generation()))
            .collect()
    }

    fn record_action(&mut self, planned: &Planned, before: &BTreeMap<Arc<str>, Generation>) {
        self.report.actions += 1;
        match &planned.action {
            Action::Own { host, .. } => {
                let initial = self.report.rollout_s.len() == 1 && self.rollout_since.is_some();
                self.report.host_moves += usize::from(!initial);
                let previous = before.get(host);
                let still_runs =
                    previous.is_some_and(|previous| self.platform.is_leased_to(host, *previous));
                self.report.overlapping_owners += usize::from(still_runs);
            }
            Action::Drain { host, .. } => {
                let planned_outage = matches!(
                    planned.reason,
                    Reason::MaintenanceDue { .. } | Reason::PoolSurplus { .. }
                );
                if planned_outage && !self.is_covered(host) {
                    self.report.budget_overdrawn += 1;
                }
            }
            Action::StartTask { attempt, .. } => self.report.job_moves += usize::from(*attempt > 1),
            _ => {}
        }
    }

    /// Whether the pool of a drained host keeps enough hosts or has the budget for the outage.
    fn is_covered(&self, host: &str) -> bool {
        let config = self.control.config();
        let record = self.control.hosts().get(host);
        let Some(pool) = record.and_then(|record| record.ownership.pool()) else {
            return true;
        };
        let needed = config.pools().get(pool).map_or(0, |spec| spec.hosts);
        if self.serving().get(pool).copied().unwrap_or(0) >= needed {
            return true;
        }
        let remaining = self.control.ledger().remaining(config, self.now);
        let services = config
            .services()
            .values()
            .filter(|service| service.pool == *pool);
        let smallest = services
            .filter_map(|service| remaining.get(&service.name))
            .min();
        smallest.is_none_or(|remaining| *remaining >= MAINTENANCE_OUTAGE)
    }

    /// Number of healthy hosts that each pool owns after the actions of this step.
    fn serving(&self) -> BTreeMap<Arc<str>, u32> {
        let mut serving = BTreeMap::new();
        for worker in self.platform.reports(0).workers {
            let record = self.control.hosts().get(&worker.host);
            if let Some(Ownership::Owned { pool, .. }) = record.map(|record| &record.ownership)
                && worker.health == HostHealth::Healthy
            {
                *serving.entry(Arc::clone(pool)).or_default() += 1;
            }
        }
        serving
    }

    fn record_buffer(&mut self) {
        let (requested, held) = self.control.buffer_hosts(self.now);
        let seconds = self.step.as_secs_f64();
        let bound = bounds::min_buffer(self.control.config());
        self.observed_s += seconds;
        self.report.buffer_hosts += f64::from(requested) * seconds;
        self.report.buffer_held += f64::from(held) * seconds;
        self.report.buffer_lower_bound += f64::from(bound) * seconds;
    }

    /// Ends the roll-out once every pool has its hosts and no withdrawn host or pool is in use.
    fn record_rollout_end(&mut self) {
        let Some(since) = self.rollout_since else {
            return;
        };
        let config = self.control.config();
        let serving = self.serving();
        let staffed = config.pools().values().all(|pool| {
            let serving = serving.get(&pool.name).copied().unwrap_or(0);
            pool.spare || serving >= pool.hosts
        });
        let owns_withdrawn = self.control.hosts().iter().any(|(host, record)| {
            let pool = record.ownership.pool();
            let pool_withdrawn = pool.is_some_and(|pool| !config.pools().contains_key(pool));
            pool_withdrawn || (pool.is_some() && !config.hosts().contains_key(host))
        });
        if staffed && !owns_withdrawn {
            let seconds = self.now.saturating_sub(since).as_secs();
            if let Some(last) = self.report.rollout_s.last_mut() {
                *last = Some(seconds);
            }
            self.rollout_since = None;
        }
    }

    /// Number of tasks of unstopped jobs that are neither running nor finished.
    fn stranded_tasks(&self) -> usize {
        let tasks = self.platform.reports(0).tasks;
        let is_settled = |job: &str, index: u32| {
            tasks.iter().any(|task| {
                let settled = task.phase.holds_resources() || task.phase == TaskPhase::Finished;
                &*task.job == job && task.index == index && settled
            })
        };
        let jobs = self.control.config().jobs().values().filter(|job| {
            let record = self.control.jobs().get(&job.name);
            record.is_none_or(|record| !record.stopped)
        });
        jobs.map(|job| {
            (0..job.tasks)
                .filter(|index| !is_settled(&job.name, *index))
                .count()
        })
        .sum()
    }
}

fn percentile_99(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * 99).div_ceil(100).saturating_sub(1);
    values.get(rank).copied().unwrap_or_default()
}
