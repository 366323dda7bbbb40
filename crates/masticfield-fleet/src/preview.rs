//! Preview of the host moves that a release note would cause.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::{preview, sample};
//!
//! let fleet = sample::small();
//! let preview = preview(&fleet.config, &fleet.config, &fleet.hosts);
//! assert_eq!(preview.number, 1);
//! assert_eq!((preview.steps.len(), preview.host_moves), (3, 0));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Action, Generation, Observation, Planned};
use masticfield_core::operator::{PlanPreview, PlanStep};

use crate::index::FleetIndex;
use crate::placement::LearnedEstimates;
use crate::plan::{Planner, describe};
use crate::reserve::{self, ReservePolicy};
use crate::sample::healthy_host;
use crate::view::{FleetView, HostRecords, JobRecords};

/// Plans that a preview simulates at most; later steps are not shown.
const MAX_PLANS: usize = 256;

/// Simulates the plans that replace the configuration `current` by `next`.
///
/// Every host is assumed healthy and drains immediately. Maintenance and task starts are not
/// simulated because they do not move hosts between pools. Shortfalls describe the losses that
/// the fleet could not compensate for once the note is rolled out.
pub fn preview(current: &FleetConfig, next: &FleetConfig, hosts: &HostRecords) -> PlanPreview {
    let mut simulation = Simulation::new(next, hosts);
    let mut steps = Vec::new();
    for _ in 0..MAX_PLANS {
        let planned = simulation.apply_next_plan();
        if planned.is_empty() {
            break;
        }
        steps.extend(planned);
    }
    let host_moves = steps.iter().filter(|planned| is_move(planned)).count();
    let (shortfalls, buffer_hosts) = simulation.outcome();
    PlanPreview {
        number: next.version(),
        steps: steps.iter().map(describe_step).collect(),
        shortfalls,
        host_moves: u32::try_from(host_moves).unwrap_or(u32::MAX),
        job_moves: displaced_tasks(current, next),
        buffer_hosts,
    }
}

/// A copy of the fleet on which plans take effect immediately.
#[derive(Debug)]
struct Simulation<'a> {
    config: &'a FleetConfig,
    hosts: HostRecords,
    jobs: JobRecords,
    observation: Observation,
    budgets: BTreeMap<Arc<str>, Duration>,
    estimates: LearnedEstimates,
}

impl<'a> Simulation<'a> {
    fn new(config: &'a FleetConfig, hosts: &HostRecords) -> Self {
        let recorded = hosts.iter().map(|(name, _)| name);
        let mut names: Vec<_> = config.hosts().keys().chain(recorded).collect();
        names.sort();
        names.dedup();
        let observation = Observation {
            hosts: names.into_iter().map(healthy_host).collect(),
            tasks: Vec::new(),
        };
        Self {
            config,
            hosts: hosts.clone(),
            jobs: JobRecords::default(),
            observation,
            budgets: BTreeMap::new(),
            estimates: LearnedEstimates::default(),
        }
    }

    const fn view(&self) -> FleetView<'_> {
        FleetView {
            config: self.config,
            hosts: &self.hosts,
            jobs: &self.jobs,
            observation: &self.observation,
            budgets: &self.budgets,
            estimates: &self.estimates,
        }
    }

    /// Plans once and applies the result; empty when nothing is left to do.
    fn apply_next_plan(&mut self) -> Vec<Planned> {
        let planned = Planner::new()
            .hosts_only()
            .plan(&self.view(), Duration::ZERO);
        for planned in &planned {
            self.hosts.apply(planned, Duration::ZERO);
        }
        for report in &mut self.observation.hosts {
            let record = self.hosts.get(&report.host);
            report.drained = record.map(|record| record.ownership.generation());
        }
        planned
    }

    /// Shortfalls and buffer hosts of the simulated fleet.
    fn outcome(&self) -> (Vec<Arc<str>>, u32) {
        let view = self.view();
        let index = FleetIndex::new(&view, Duration::ZERO, ReservePolicy::Shared);
        (reserve::shortfalls(&index), reserve::buffer_hosts(&index))
    }
}

/// Whether the action gives a pool a host that was owned before.
fn is_move(planned: &Planned) -> bool {
    matches!(planned.action, Action::Own { generation, .. } if generation > Generation::new(1))
}

fn describe_step(planned: &Planned) -> PlanStep {
    PlanStep {
        action: describe::action(&planned.action).into(),
        reason: describe::reason(&planned.reason).into(),
    }
}

/// Number of tasks whose job changes pools, so that they cannot stay on their hosts.
fn displaced_tasks(current: &FleetConfig, next: &FleetConfig) -> u32 {
    let displaced = current.jobs().values().filter(|job| {
        let after = next.jobs().get(&job.name);
        after.is_some_and(|after| after.pool != job.pool)
    });
    displaced.map(|job| job.tasks).sum()
}
