//! One contender on the model of the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::fleet::{
    Action, Generation, HostHealth, Ownership, Planned, Reason, TaskPhase,
};
use masticfield_core::note::{JobPriority, ReleaseNote};
use masticfield_core::platform::WorkerReports;
use masticfield_fake::platform::{Platform, Timings};
use masticfield_fleet::ControlLoop;

use super::tally::Tally;
use super::{Contender, bounds};
use crate::experiment::ExperimentError;

/// Time between two turns while things happen.
const TURN: Duration = Duration::from_secs(1);

/// Time between two turns of the quiet days after that; leases outlast it.
const LONG_TURN: Duration = Duration::from_secs(30);

/// Length of an outage for maintenance, which a budget has to cover.
const OUTAGE: Duration = Duration::from_mins(10);

/// The platform, the control loop, and what was counted.
pub(super) struct Play {
    pub(super) platform: Platform,
    pub(super) control: ControlLoop,
    pub(super) tally: Tally,
    now: Duration,
    pace: Duration,
    seconds: f64,
    turn_ms: Vec<f64>,
    urgent: BTreeMap<(Arc<str>, u32), (Duration, Option<Duration>)>,
    note_since: Option<Duration>,
}

impl Play {
    pub(super) fn new(contender: Contender) -> Self {
        Self {
            platform: Platform::new(Timings::default(), []),
            control: ControlLoop::new(contender.planner),
            tally: Tally::default(),
            now: Duration::from_hours(24 * 365),
            pace: TURN,
            seconds: 0.0,
            turn_ms: Vec::new(),
            urgent: BTreeMap::new(),
            note_since: None,
        }
    }

    /// Puts a note in force, as its commitment would.
    pub(super) fn apply(&mut self, note: &ReleaseNote) -> Result<(), ExperimentError> {
        let next = self.control.config().apply(note)?;
        for host in &note.added.hosts {
            self.platform.add(host.clone());
        }
        for job in &note.added.jobs {
            if job.priority == JobPriority::Urgent && note.number > 1 {
                let tasks = (0..job.tasks).map(|index| (Arc::clone(&job.name), index));
                self.urgent
                    .extend(tasks.map(|task| (task, (self.now, None))));
            }
        }
        self.control.set_config(next);
        self.note_since = Some(self.now);
        self.tally.rollout_s.push(None);
        Ok(())
    }

    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.turn();
        }
    }

    /// Lets quiet days pass, in longer turns.
    pub(super) fn run_quiet(&mut self, time: Duration) {
        self.pace = LONG_TURN;
        self.run(time);
        self.pace = TURN;
    }

    /// Adds to the least moves what the loss of hosts asks for.
    pub(super) fn bound_loss(&mut self, hosts: &[Arc<str>], returns: bool) {
        let bound = bounds::moves_after_loss(self.control.config(), self.control.hosts(), hosts);
        self.tally.moves_lower_bound += bound.replaced + if returns { bound.refilled } else { 0 };
    }

    /// Loses hosts for a while.
    pub(super) fn lose(&mut self, hosts: &[Arc<str>]) {
        self.bound_loss(hosts, true);
        for host in hosts {
            self.platform.fail(host);
        }
    }

    pub(super) fn repair(&mut self, hosts: &[Arc<str>]) {
        for host in hosts {
            self.platform.repair(host);
        }
    }

    /// The figures at the end.
    pub(super) fn finish(mut self) -> Tally {
        let started = self.urgent.values();
        let waits = started.filter_map(|(since, at)| Some(at.as_ref()?.saturating_sub(*since)));
        let mut waits: Vec<_> = waits.map(|wait| wait.as_secs_f64()).collect();
        self.tally.plan_ms_p99 = percentile_99(&mut self.turn_ms);
        self.tally.urgent_start_p99_s = percentile_99(&mut waits);
        self.tally.urgent_started = (waits.len(), self.urgent.len());
        self.tally.buffer_hosts /= self.seconds;
        self.tally.buffer_held /= self.seconds;
        self.tally.buffer_lower_bound /= self.seconds;
        let config = self.control.config();
        let maintained = config.hosts().keys().filter(|host| {
            let record = self.control.hosts().get(host);
            record.is_some_and(|record| !record.last_maintained.is_empty())
        });
        self.tally.maintained = maintained.count();
        self.tally.hosts = config.hosts().len();
        self.tally.stranded_jobs = self.stranded();
        self.tally
    }

    fn turn(&mut self) {
        self.now += self.pace;
        self.platform.advance(self.now);
        let reports = self.platform.reports(self.control.cursor());
        self.note_urgent(&reports);
        let before = self.generations();
        let start = Instant::now();
        let turn = self.control.step(self.now, reports);
        self.turn_ms.push(start.elapsed().as_secs_f64() * 1_000.0);
        for planned in &turn.planned {
            self.count(planned, &before);
        }
        for order in turn.orders {
            self.platform.carry_out(order);
        }
        if self.platform.doubled_tasks() > 0 {
            self.tally.doubled_tasks += 1;
        }
        self.count_buffer();
        self.note_end();
    }

    fn note_urgent(&mut self, reports: &WorkerReports) {
        for task in &reports.tasks {
            let urgent = self.urgent.get_mut(&(Arc::clone(&task.job), task.index));
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

    fn count(&mut self, planned: &Planned, before: &BTreeMap<Arc<str>, Generation>) {
        self.tally.actions += 1;
        match &planned.action {
            Action::Own { host, .. } => {
                let first = self.tally.rollout_s.len() == 1 && self.note_since.is_some();
                self.tally.host_moves += usize::from(!first);
                let last = before.get(host);
                let runs = last.is_some_and(|last| self.platform.works_for(host, *last));
                self.tally.two_pools += usize::from(runs);
            }
            Action::Drain { host, .. } => {
                let wished = matches!(
                    planned.reason,
                    Reason::MaintenanceDue { .. } | Reason::PoolSurplus { .. }
                );
                if wished && !self.is_covered(host) {
                    self.tally.budget_overdrawn += 1;
                }
            }
            Action::StartTask { attempt, .. } => self.tally.job_moves += usize::from(*attempt > 1),
            _ => {}
        }
    }

    /// Whether the pool of a drained host has hosts enough, or a budget for the outage.
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
        let left = self.control.ledger().remaining(config, self.now);
        let services = config.services().values().filter(|it| it.pool == *pool);
        let least = services.filter_map(|service| left.get(&service.name)).min();
        least.is_none_or(|left| *left >= OUTAGE)
    }

    /// Hosts that each pool owns and that work, after the actions of this turn.
    fn serving(&self) -> BTreeMap<Arc<str>, u32> {
        let mut serving = BTreeMap::new();
        for worker in self.platform.reports(0).workers {
            let record = self.control.hosts().get(&worker.host);
            if let Some(Ownership::Owned { pool, .. }) = record.map(|it| &it.ownership)
                && worker.health == HostHealth::Healthy
            {
                *serving.entry(Arc::clone(pool)).or_default() += 1;
            }
        }
        serving
    }

    fn count_buffer(&mut self) {
        let (asked, held) = self.control.buffer_hosts(self.now);
        let seconds = self.pace.as_secs_f64();
        let bound = bounds::buffer(self.control.config());
        self.seconds += seconds;
        self.tally.buffer_hosts += f64::from(asked) * seconds;
        self.tally.buffer_held += f64::from(held) * seconds;
        self.tally.buffer_lower_bound += f64::from(bound) * seconds;
    }

    /// Notes when every pool has its hosts and nothing withdrawn is owned any more.
    fn note_end(&mut self) {
        let Some(since) = self.note_since else {
            return;
        };
        let config = self.control.config();
        let serving = self.serving();
        let filled = config.pools().values().all(|pool| {
            let serving = serving.get(&pool.name).copied().unwrap_or(0);
            pool.spare || serving >= pool.hosts
        });
        let withdrawn = self.control.hosts().iter().any(|(host, record)| {
            let pool = record.ownership.pool();
            let gone = pool.is_some_and(|pool| !config.pools().contains_key(pool));
            gone || (pool.is_some() && !config.hosts().contains_key(host))
        });
        if filled && !withdrawn {
            let seconds = self.now.saturating_sub(since).as_secs();
            if let Some(last) = self.tally.rollout_s.last_mut() {
                *last = Some(seconds);
            }
            self.note_since = None;
        }
    }

    fn stranded(&self) -> usize {
        let tasks = self.platform.reports(0).tasks;
        let settled = |job: &str, index: u32| {
            tasks.iter().any(|task| {
                let ends = task.phase.holds_resources() || task.phase == TaskPhase::Finished;
                &*task.job == job && task.index == index && ends
            })
        };
        let jobs = self.control.config().jobs().values().filter(|job| {
            let record = self.control.jobs().get(&job.name);
            record.is_none_or(|record| !record.stopped)
        });
        jobs.map(|job| {
            (0..job.tasks)
                .filter(|index| !settled(&job.name, *index))
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
