//! The whole loop without a log: reports in, plans and orders out.

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

/// Drives a fleet in one process; planned actions take effect at once.
///
/// A control replica runs the same parts but commits each plan to the replicated log first.
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

/// What one turn of the loop came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepOutput {
    /// The actions, each with its reason.
    pub planned: Vec<Planned>,
    /// The orders for the platform.
    pub orders: Vec<PlatformOrder>,
}

impl ControlLoop {
    /// Creates a loop over an empty fleet.
    pub fn new(planner: Planner) -> Self {
        Self {
            planner,
            ..Self::default()
        }
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, config: FleetConfig) {
        self.config = config;
    }

    /// The configuration in force.
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The records of hosts.
    pub const fn hosts(&self) -> &HostRecords {
        &self.hosts
    }

    /// The records of jobs.
    pub const fn jobs(&self) -> &JobRecords {
        &self.jobs
    }

    /// The ledger of budgets.
    pub const fn ledger(&self) -> &AvailabilityLedger {
        &self.ledger
    }

    /// The cursor to ask the platform with.
    pub const fn cursor(&self) -> u64 {
        self.observer.cursor()
    }

    /// Hosts that the policy asks for beyond the need of pools, and hosts that are held so.
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

    /// Forgets all that a new leader does not know: reports, flaps and learnt sizes.
    pub fn fail_over(&mut self) {
        self.observer = Observer::new();
        self.damper = FlapDamper::new();
        self.estimates = LearnedEstimates::default();
    }

    /// Takes reports, plans, and says what to order.
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
        let short = service_shortages(&self.view(observation, &budgets), now);
        for (service, lacks) in short {
            self.ledger.record(&service, now, lacks);
        }
    }
}

/// Whether each service lacks healthy hosts, for the ledger of its availability budget.
pub fn service_shortages(view: &FleetView<'_>, now: Duration) -> Vec<(Arc<str>, bool)> {
    let index = FleetIndex::new(view, now, ReservePolicy::Shared);
    let services = view.config.services().values();
    let short = services.map(|service| {
        let pool = index.pool_key(&service.pool).map(|key| index.pool(key));
        let lacks = pool.is_some_and(|pool| pool.serving_count() < pool.needed);
        (Arc::clone(&service.name), lacks)
    });
    short.collect()
}
