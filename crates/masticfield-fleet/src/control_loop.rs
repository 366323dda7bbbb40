//! An in-process control loop without a replicated log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Observation, Planned};
use masticfield_core::platform::{PlatformOrder, WorkerReports};

use crate::health::{AvailabilityLedger, FlapDamper, Observer};
use crate::index::FleetIndex;
use crate::orders;
use crate::placement::LearnedEstimates;
use crate::plan::Planner;
use crate::reserve::{self, ReservePolicy};
use crate::view::{FleetView, HostRecords, JobRecords};

/// Drives a fleet from a single process for tests and simulations.
///
/// Planned actions are applied to the records immediately. A control replica runs the same
/// components but commits each plan to the replicated log first.
#[derive(Debug, Clone, Default)]
pub struct ControlLoop {
    planner: Planner,
    config: FleetConfig,
    hosts: HostRecords,
    jobs: JobRecords,
    observer: Observer,
    damper: FlapDamper,
    ledger: AvailabilityLedger,
    estimates: LearnedEstimates,
}

/// Actions and orders that result from one step of the loop.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepOutput {
    /// Planned actions, already applied to the records.
    pub planned: Vec<Planned>,
    /// Orders to send to the platform.
    pub orders: Vec<PlatformOrder>,
}

impl ControlLoop {
    /// Creates a loop for an empty fleet.
    pub fn new(planner: Planner) -> Self {
        Self {
            planner,
            ..Self::default()
        }
    }

    /// Replaces the configuration; the next step plans for it.
    pub fn set_config(&mut self, config: FleetConfig) {
        self.config = config;
    }

    /// The configuration that the loop plans for.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Durable records of the hosts.
    pub const fn hosts(&self) -> &HostRecords {
        &self.hosts
    }

    /// Durable records of the jobs.
    pub const fn jobs(&self) -> &JobRecords {
        &self.jobs
    }

    /// Shortages recorded against the availability budgets.
    pub const fn ledger(&self) -> &AvailabilityLedger {
        &self.ledger
    }

    /// Cursor for the next request of reports from the platform.
    pub const fn cursor(&self) -> u64 {
        self.observer.cursor()
    }

    /// Buffer hosts that the reserve policy requests, and buffer hosts held at `now`.
    pub fn buffer_hosts(&self, now: Duration) -> (u32, u32) {
        let budgets = BTreeMap::new();
        let observation = self.observer.observation(now);
        let view = self.view(&observation, &budgets);
        let index = FleetIndex::new(&view, now, self.planner.reserve_policy());
        (
            reserve::requested_hosts(&index),
            reserve::buffer_hosts(&index),
        )
    }

    /// Simulates a change of the leader.
    ///
    /// Drops what is not durable: reports, flap history and learned estimates.
    pub fn fail_over(&mut self) {
        self.observer = Observer::new();
        self.damper = FlapDamper::new();
        self.estimates = LearnedEstimates::default();
    }

    /// Records the reports that arrived at `now`, plans, and returns the resulting orders.
    pub fn step(&mut self, now: Duration, reports: WorkerReports) -> StepOutput {
        self.observer.record(now, reports);
        let mut observation = self.observer.observation(now);
        self.damper.apply(now, &mut observation);
        self.estimates.record(&observation);
        self.record_shortages(now, &observation);
        let budgets = self.ledger.remaining(&self.config, now);
        let planned = self.planner.plan(&self.view(&observation, &budgets), now);
        for planned in &planned {
            self.hosts.apply(planned, now);
            self.jobs.apply(planned, now);
        }
        let orders = orders::pending_orders(&self.view(&observation, &budgets));
        StepOutput { planned, orders }
    }

    const fn view<'a>(
        &'a self,
        observation: &'a Observation,
        budgets: &'a BTreeMap<Arc<str>, Duration>,
    ) -> FleetView<'a> {
        FleetView {
            config: &self.config,
            hosts: &self.hosts,
            jobs: &self.jobs,
            observation,
            budgets,
            estimates: &self.estimates,
        }
    }

    fn record_shortages(&mut self, now: Duration, observation: &Observation) {
        let budgets = BTreeMap::new();
        let shortages = service_shortages(&self.view(observation, &budgets), now);
        for (service, is_short) in shortages {
            self.ledger.record(&service, now, is_short);
        }
    }
}

/// Whether the pool of each service has fewer serving hosts than it needs.
///
/// The result is recorded in the [`AvailabilityLedger`].
pub fn service_shortages(view: &FleetView<'_>, now: Duration) -> Vec<(Arc<str>, bool)> {
    let index = FleetIndex::new(view, now, ReservePolicy::Shared);
    let services = view.config.services().values();
    let shortages = services.map(|service| {
        let pool = index.pool_key(&service.pool).map(|key| index.pool(key));
        let is_short = pool.is_some_and(|pool| pool.serving_count() < pool.needed);
        (Arc::clone(&service.name), is_short)
    });
    shortages.collect()
}
