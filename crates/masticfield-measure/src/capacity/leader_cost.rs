//! Measured cost of the control leader.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Action, HostHealth};
use masticfield_fleet::sample::SampleFleet;
use masticfield_fleet::{orders, plan};
use serde::Serialize;

use super::messages::MessageSizes;
use super::roles::leader_bytes_per_s;
use super::{Size, synthetic};
use crate::experiment::ExperimentError;

/// Interval between two steps of the control loop.
pub(super) const CONTROL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of runs from which the median time is taken.
const REPETITIONS: usize = 15;

/// Copies of the state over which its memory is averaged.
const COPIES: usize = 16;

/// Cost of the control leader at one installation size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LeaderCost {
    /// Planning time in milliseconds: the longest of a steady fleet, one with all maintenance due
    /// and one with a fiftieth of its hosts failed.
    pub plan_ms: f64,
    /// Memory of configuration, records and observation, in mebibytes.
    pub rss_mb: f64,
    /// Traffic that the leader sends and receives, in bytes per second.
    pub bytes_per_s: f64,
    /// Processor time of planning, creating orders and applying changes, in percent of a core.
    pub cpu_percent: f64,
    /// Time to apply one release note to the configuration, in milliseconds.
    pub change_ms: f64,
}

impl LeaderCost {
    /// Measures a synthetic fleet of the given size.
    ///
    /// # Errors
    ///
    /// Returns an error if the synthetic release note cannot be applied, a message cannot be
    /// encoded, or the process cannot read its own memory use.
    pub fn measure(size: Size) -> Result<Self, ExperimentError> {
        let note = synthetic::release_note(size);
        let config = FleetConfig::default().apply(&note)?;
        let fleet = converge(SampleFleet::new(&note));
        let rss_mb = state_memory_mb(&fleet)?;
        let change = synthetic::change_note(size);
        let change_ms = median_ms(|| drop(black_box(config.apply(&change))));
        let steady_ms =
            plan_ms(&fleet) + median_ms(|| drop(black_box(orders::pending_orders(&fleet.view()))));
        let interval_ms = 1_000.0 * CONTROL_INTERVAL.as_secs_f64();
        let changes_share = f64::from(size.changes_a_day) * change_ms / 86_400_000.0;
        let messages = MessageSizes::measure(size, &config)?;
        Ok(Self {
            plan_ms: plan_ms(&fleet)
                .max(plan_ms(&with_maintenance_due(fleet.clone())))
                .max(plan_ms(&with_failed_hosts(fleet.clone()))),
            rss_mb,
            bytes_per_s: leader_bytes_per_s(size, &messages)
                .iter()
                .map(|source| source.1)
                .sum(),
            cpu_percent: 100.0 * (steady_ms / interval_ms + changes_share),
            change_ms,
        })
    }
}

/// Plans until every pool owns its hosts, and records each host as maintained.
fn converge(mut fleet: SampleFleet) -> SampleFleet {
    loop {
        let planned = plan(&fleet.view(), Duration::ZERO);
        let assignments = planned
            .iter()
            .filter(|planned| matches!(planned.action, Action::Own { .. }));
        let actions: Vec<_> = assignments
            .map(|planned| {
                fleet.hosts.apply(planned, Duration::ZERO);
                planned.action.clone()
            })
            .collect();
        if actions.is_empty() {
            return fleet;
        }
        for action in actions {
            if let Action::Own { host, .. } = action
                && let Some(record) = fleet.hosts.get(&host)
            {
                let record = record.clone().with_maintenance("six-weeks", Duration::ZERO);
                fleet.hosts.insert(host, record);
            }
        }
    }
}

/// Makes all hosts due for maintenance.
fn with_maintenance_due(mut fleet: SampleFleet) -> SampleFleet {
    let hosts: Vec<_> = fleet
        .hosts
        .iter()
        .map(|(host, record)| (Arc::clone(host), record.clone()))
        .collect();
    for (host, mut record) in hosts {
        record.last_maintained.clear();
        fleet.hosts.insert(host, record);
    }
    fleet
}

/// Fails a fiftieth of the hosts at once.
fn with_failed_hosts(mut fleet: SampleFleet) -> SampleFleet {
    for report in fleet.observation.hosts.iter_mut().step_by(50) {
        report.health = HostHealth::Failed;
    }
    fleet
}

fn plan_ms(fleet: &SampleFleet) -> f64 {
    median_ms(|| drop(black_box(plan(&fleet.view(), Duration::ZERO))))
}

/// Median time that `operation` takes, in milliseconds.
fn median_ms(mut operation: impl FnMut()) -> f64 {
    let mut times: Vec<_> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            operation();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[REPETITIONS / 2].as_secs_f64() * 1_000.0
}

/// Memory of one copy of the fleet's state in mebibytes, from the growth of this process.
fn state_memory_mb(fleet: &SampleFleet) -> Result<f64, ExperimentError> {
    let encoded =
        postcard::to_stdvec(&(&fleet.config, &fleet.hosts, &fleet.jobs, &fleet.observation))?;
    let before = resident_bytes()?;
    let mut copies = Vec::new();
    for _ in 0..COPIES {
        // Unlike clones, decoded copies share no strings.
        let copy: (
            FleetConfig,
            masticfield_fleet::view::HostRecords,
            masticfield_fleet::view::JobRecords,
            masticfield_core::fleet::Observation,
        ) = postcard::from_bytes(&encoded)?;
        copies.push(copy);
    }
    let after = resident_bytes()?;
    // Leaked on purpose: reuse of the freed pages would hide the growth at the next size.
    std::mem::forget(copies);
    #[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 bytes")]
    let growth = after.saturating_sub(before) as f64;
    #[expect(clippy::cast_precision_loss, reason = "a small constant")]
    let copies = COPIES as f64;
    Ok(growth / copies / 1_048_576.0)
}

fn resident_bytes() -> Result<u64, ExperimentError> {
    let statm = procfs::process::Process::myself()?.statm()?;
    Ok(statm.resident * procfs::page_size())
}
