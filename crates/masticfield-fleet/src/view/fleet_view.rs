//! The planner's input.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::Observation;

use super::{HostRecords, JobRecords};
use crate::placement::LearnedEstimates;

/// Configuration, durable records, observations and estimates that a plan is computed from.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The accepted configuration.
    pub config: &'a FleetConfig,
    /// Durable records of the hosts that were ever owned by a pool.
    pub hosts: &'a HostRecords,
    /// Durable records of the jobs that were ever placed or stopped.
    pub jobs: &'a JobRecords,
    /// The latest reports, with flapping hosts masked by [`FlapDamper`](crate::health::FlapDamper).
    pub observation: &'a Observation,
    /// Remaining availability budget by service; a missing service has its whole budget.
    pub budgets: &'a BTreeMap<Arc<str>, Duration>,
    /// Task sizes and run times learned from usage.
    pub estimates: &'a LearnedEstimates,
}
