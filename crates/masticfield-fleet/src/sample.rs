//! A small fleet for examples and tests.
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

/// Everything that a [`FleetView`] refers to.
#[derive(Debug, Clone, Default)]
pub struct SampleFleet {
    /// The configuration.
    pub config: FleetConfig,
    /// The records of hosts.
    pub hosts: HostRecords,
    /// The records of jobs.
    pub jobs: JobRecords,
    /// The reports.
    pub observation: Observation,
    /// What is left of the budgets.
    pub budgets: BTreeMap<Arc<str>, Duration>,
    /// Learnt sizes.
    pub estimates: LearnedEstimates,
}

impl SampleFleet {
    /// Creates a fleet in which every host of the note reports that it works.
    ///
    /// # Panics
    ///
    /// Panics if the note does not apply.
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

    /// The view of the fleet.
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

/// A report of a host that works.
pub fn healthy_host(host: &Arc<str>) -> HostObservation {
    HostObservation {
        host: Arc::clone(host),
        health: HostHealth::Healthy,
        drained: None,
        silent_for: Duration::ZERO,
        reboots: 0,
    }
}

/// Four hosts in two availability zones, a pool that needs two, and a spare pool of one.
///
/// # Panics
///
/// Panics if the sample is no release note, which is a bug.
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
