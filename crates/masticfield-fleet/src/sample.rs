//! Sample fleets for examples and tests.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::sample;
//!
//! assert_eq!(sample::small().config.hosts().len(), 4);
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{HostHealth, HostObservation, Observation};
use masticfield_core::note::ReleaseNote;

use crate::placement::LearnedEstimates;
use crate::view::{FleetView, HostRecords, JobRecords};

/// Owns everything that a [`FleetView`] borrows.
#[derive(Debug, Clone, Default)]
pub struct SampleFleet {
    /// The accepted configuration.
    pub config: FleetConfig,
    /// Durable host records; empty in a new sample.
    pub hosts: HostRecords,
    /// Durable job records; empty in a new sample.
    pub jobs: JobRecords,
    /// Reports of the platform; a new sample has a healthy report of every host.
    pub observation: Observation,
    /// Remaining availability budget by service; a missing service has its whole budget.
    pub budgets: BTreeMap<Arc<str>, Duration>,
    /// Sizes and run times learned from usage; empty in a new sample.
    pub estimates: LearnedEstimates,
}

impl SampleFleet {
    /// Creates a fleet with the configuration of `note`, in which every host is healthy.
    ///
    /// # Panics
    ///
    /// Panics if the note does not apply to an empty configuration.
    pub fn new(note: &ReleaseNote) -> Self {
        let config = FleetConfig::default().apply(note);
        let config = config.expect("the note applies to an empty configuration");
        let hosts = config.hosts().keys().map(healthy_host).collect();
        let observation = Observation {
            hosts,
            tasks: Vec::new(),
        };
        Self {
            config,
            observation,
            ..Self::default()
        }
    }

    /// Borrows the fleet for a planner.
    pub const fn view(&self) -> FleetView<'_> {
        FleetView {
            config: &self.config,
            hosts: &self.hosts,
            jobs: &self.jobs,
            observation: &self.observation,
            budgets: &self.budgets,
            estimates: &self.estimates,
        }
    }
}

/// The report of a healthy host that was never rebooted.
pub fn healthy_host(host: &Arc<str>) -> HostObservation {
    HostObservation {
        host: Arc::clone(host),
        health: HostHealth::Healthy,
        drained: None,
        silent_for: Duration::ZERO,
        reboots: 0,
    }
}

/// Four hosts in two availability zones, a pool that needs two hosts, and a spare pool of one.
///
/// # Panics
///
/// Panics if the built-in sample is not a valid release note, which is a bug.
pub fn small() -> SampleFleet {
    let note = ReleaseNote::from_toml(SMALL).expect("the sample is a release note");
    SampleFleet::new(&note)
}

const SMALL: &str = r#"
number = 1
builds_on = 0

[added]
hosts = [
  { name = "a-1", region = "r", zone = "a", rack = "a1", cores = 32, memory_gb = 128 },
  { name = "a-2", region = "r", zone = "a", rack = "a2", cores = 32, memory_gb = 128 },
  { name = "b-1", region = "r", zone = "b", rack = "b1", cores = 32, memory_gb = 128 },
  { name = "b-2", region = "r", zone = "b", rack = "b2", cores = 32, memory_gb = 128 },
]
pools = [
  { name = "counter", hosts = 2 },
  { name = "support", hosts = 1, spare = true },
]
"#;
