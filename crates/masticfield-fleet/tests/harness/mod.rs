//! Runs the control loop against the fake platform and checks safety rules after each step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Action, Generation, Ownership, Planned, Reason};
use masticfield_core::note::{ReleaseNote, Resources};
use masticfield_fake::platform::{FakePlatform, OrderOutcome, Timings};
use masticfield_fleet::{ControlLoop, Planner};

const VITORIA: &str = include_str!("../../../../examples/vitoria.toml");

/// The release note of the Vitoria example.
pub fn vitoria() -> ReleaseNote {
    ReleaseNote::from_toml(VITORIA).unwrap()
}

/// Default interval between two steps of the loop.
pub const STEP_INTERVAL: Duration = Duration::from_secs(10);

/// A safety rule that the planner has violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A host was assigned to a pool while it still worked for another one.
    TwoPools,
    /// A planned drain left a pool short without enough availability budget.
    BudgetOverdrawn,
    /// A plan exceeded the maximum number of actions.
    TooManyActions,
    /// Two attempts at a task ran at the same time.
    DoubledTask,
    /// The tasks on a host exceeded its capacity.
    DoesNotFit,
}

pub struct Harness {
    pub platform: FakePlatform,
    pub control: ControlLoop,
    pub now: Duration,
    pub violations: Vec<Violation>,
    pub history: Vec<Planned>,
    /// Interval between two steps of the loop.
    pub interval: Duration,
    /// Whether every order is delivered twice.
    pub duplicate_orders: bool,
}

impl Harness {
    pub fn new(note: &ReleaseNote, planner: Planner) -> Self {
        let config = FleetConfig::default().apply(note).unwrap();
        let mut control = ControlLoop::new(planner);
        let platform = FakePlatform::new(Timings::default(), config.hosts().values().cloned());
        control.set_config(config);
        Self {
            platform,
            control,
            now: Duration::from_hours(24 * 365),
            violations: Vec::new(),
            history: Vec::new(),
            interval: STEP_INTERVAL,
            duplicate_orders: true,
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) -> Vec<Planned> {
        self.now += self.interval;
        self.platform.advance(self.now);
        let serving = self.serving();
        let generations = self.generations();
        let reports = self.platform.reports(self.control.cursor());
        let output = self.control.step(self.now, reports);
        self.check(&output.planned, serving, &generations);
        for order in output.orders {
            if self.duplicate_orders {
                self.platform.execute(order.clone());
            }
            let outcome = self.platform.execute(order);
            assert_ne!(outcome, OrderOutcome::NotFound);
        }
        if self.platform.duplicated_tasks() > 0 {
            self.violations.push(Violation::DoubledTask);
        }
        self.history.extend(output.planned.iter().cloned());
        output.planned
    }

    pub fn owned(&self, pool: &str) -> Vec<Arc<str>> {
        let owned = self.control.hosts().iter().filter(|(_, record)| {
            matches!(&record.ownership, Ownership::Owned { pool: owner, .. } if &**owner == pool)
        });
        owned.map(|(host, _)| Arc::clone(host)).collect()
    }

    pub fn count(&self, predicate: impl Fn(&Planned) -> bool) -> usize {
        self.history
            .iter()
            .filter(|planned| predicate(planned))
            .count()
    }

    /// Number of healthy hosts that each pool owns.
    fn serving(&self) -> BTreeMap<Arc<str>, u32> {
        let reports = self.platform.reports(0).workers;
        let healthy: BTreeMap<_, _> = reports
            .into_iter()
            .map(|worker| (worker.host, worker.health))
            .collect();
        let mut serving = BTreeMap::new();
        for (host, record) in self.control.hosts().iter() {
            if let Ownership::Owned { pool, .. } = &record.ownership
                && healthy.get(host) == Some(&masticfield_core::fleet::HostHealth::Healthy)
            {
                *serving.entry(Arc::clone(pool)).or_default() += 1;
            }
        }
        serving
    }

    /// Resources reserved for the running tasks of each host.
    fn held(&self) -> BTreeMap<Arc<str>, Resources> {
        let mut held: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
        for task in self.platform.reports(0).tasks {
            let record = self
                .control
                .jobs()
                .get(&task.job)
                .and_then(|job| job.tasks.get(&task.index));
            if let Some(record) = record.filter(|_| task.phase.holds_resources()) {
                let sum = held.entry(task.host).or_default();
                *sum = sum.plus(record.size);
            }
        }
        held
    }

    fn generations(&self) -> BTreeMap<Arc<str>, Generation> {
        let hosts = self.control.hosts().iter();
        hosts
            .map(|(host, record)| (Arc::clone(host), record.ownership.generation()))
            .collect()
    }

    fn check(
        &mut self,
        planned: &[Planned],
        mut serving: BTreeMap<Arc<str>, u32>,
        generations: &BTreeMap<Arc<str>, Generation>,
    ) {
        if planned.len() > 64 {
            self.violations.push(Violation::TooManyActions);
        }
        let config = self.control.config().clone();
        let mut held = self.held();
        let budgets = self.control.ledger().remaining(&config, self.now);
        for planned in planned {
            match &planned.action {
                Action::Own { host, pool, .. } => {
                    let last = generations.get(host);
                    if last.is_some_and(|last| self.platform.is_leased_to(host, *last)) {
                        self.violations.push(Violation::TwoPools);
                    }
                    *serving.entry(Arc::clone(pool)).or_default() += 1;
                }
                Action::Drain { host, .. } => {
                    let record = self.control.hosts().get(host).unwrap();
                    let pool = record.ownership.pool().unwrap();
                    let Some(spec) = config.pools().get(pool) else {
                        continue;
                    };
                    let is_voluntary = matches!(
                        planned.reason,
                        Reason::MaintenanceDue { .. } | Reason::PoolSurplus { .. }
                    );
                    if !is_voluntary {
                        continue;
                    }
                    let serving = serving.entry(Arc::clone(pool)).or_default();
                    *serving = serving.saturating_sub(1);
                    let services = config
                        .services()
                        .values()
                        .filter(|service| service.pool == *pool);
                    let budget = services
                        .filter_map(|service| budgets.get(&service.name))
                        .min();
                    let covered = budget.is_none_or(|budget| *budget >= Duration::from_mins(10));
                    if *serving < spec.hosts && !covered {
                        self.violations.push(Violation::BudgetOverdrawn);
                    }
                }
                Action::StartTask { host, size, .. } => {
                    let spec = &config.hosts()[host];
                    let capacity = Resources::new(spec.cores * 1_000, spec.memory_gb * 1_024, 0);
                    let sum = held.entry(Arc::clone(host)).or_default();
                    *sum = sum.plus(*size);
                    if !sum.fits_into(capacity) {
                        self.violations.push(Violation::DoesNotFit);
                    }
                }
                _ => {}
            }
        }
    }
}
