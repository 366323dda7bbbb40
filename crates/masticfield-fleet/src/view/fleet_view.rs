//! Everything that a plan depends on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::Observation;

use super::{HostRecords, JobRecords};
use crate::placement::LearnedEstimates;

/// State, observations and learnt sizes at a moment.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The accepted configuration.
    pub config: &'a FleetConfig,
    /// The durable record of each host that was ever owned.
    pub hosts: &'a HostRecords,
    /// The durable record of each job that was ever placed.
    pub jobs: &'a JobRecords,
    /// The latest reports, after [`FlapDamper`](crate::health::FlapDamper).
    pub observation: &'a Observation,
    /// Availability budget that each service has left; the whole budget if not given.
    pub budgets: &'a BTreeMap<Arc<str>, Duration>,
    /// Sizes and run times learnt from usage.
    pub estimates: &'a LearnedEstimates,
}
