//! What a release note would change, before it is accepted.
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

/// Rounds after which a preview ends even if steps are left.
const MAX_ROUNDS: usize = 256;

/// Plays the plans for `next` on hosts that all work and drain at once.
///
/// Maintenance and the starts of tasks are left out: a note does not move hosts by them. Shortfalls name what the
/// fleet could not make up for afterwards.
pub fn preview(now: &FleetConfig, next: &FleetConfig, hosts: &HostRecords) -> PlanPreview {
    let mut play = Play::new(next, hosts);
    let mut steps = Vec::new();
    for _ in 0..MAX_ROUNDS {
        let planned = play.round();
        if planned.is_empty() {
            break;
        }
        steps.extend(planned);
    }
    let host_moves = steps.iter().filter(|planned| is_move(planned)).count();
    let (shortfalls, buffer_hosts) = play.outcome();
    PlanPreview {
        number: next.version(),
        steps: steps.iter().map(step).collect(),
        shortfalls,
        host_moves: u32::try_from(host_moves).unwrap_or(u32::MAX),
        job_moves: displaced_tasks(now, next),
        buffer_hosts,
    }
}

/// A copy of the fleet on which plans take effect at once.
#[derive(Debug)]
struct Play<'a> {
    config: &'a FleetConfig,
    hosts: HostRecords,
    jobs: JobRecords,
    observation: Observation,
    budgets: BTreeMap<Arc<str>, Duration>,
    estimates: LearnedEstimates,
}

impl<'a> Play<'a> {
    fn new(config: &'a FleetConfig, hosts: &HostRecords) -> Self {
        let known = hosts.iter().map(|(name, _)| name);
        let mut names: Vec<_> = config.hosts().keys().chain(known).collect();
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

    fn round(&mut self) -> Vec<Planned> {
        let planned = Planner::new()
            .hosts_only()
            .plan(&self.view(), Duration::ZERO);
        for planned in &planned {
            self.hosts.apply(planned, Duration::ZERO);
        }
        for seen in &mut self.observation.hosts {
            let record = self.hosts.get(&seen.host);
            seen.drained = record.map(|record| record.ownership.generation());
        }
        planned
    }

    fn outcome(&self) -> (Vec<Arc<str>>, u32) {
        let view = self.view();
        let index = FleetIndex::new(&view, Duration::ZERO, ReservePolicy::Shared);
        (reserve::shortfalls(&index), reserve::buffer_hosts(&index))
    }
}

/// Whether a host that belonged to a pool before comes to another one.
fn is_move(planned: &Planned) -> bool {
    matches!(planned.action, Action::Own { generation, .. } if generation > Generation::new(1))
}

fn step(planned: &Planned) -> PlanStep {
    PlanStep {
        action: describe::action(&planned.action).into(),
        reason: describe::reason(&planned.reason).into(),
    }
}

/// Tasks of jobs that change pools or go, and so cannot stay where they run.
fn displaced_tasks(now: &FleetConfig, next: &FleetConfig) -> u32 {
    let displaced = now.jobs().values().filter(|job| {
        let after = next.jobs().get(&job.name);
        after.is_some_and(|after| after.pool != job.pool)
    });
    displaced.map(|job| job.tasks).sum()
}
