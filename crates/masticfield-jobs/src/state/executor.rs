//! Executors in the replicated state.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::{Resources, RunId};

/// Key of one incarnation of an executor; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExecutorKey(pub u32);

/// One incarnation of an executor, from its start to its end, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorIncarnation {
    /// Identifier of the executor; shared by its successive incarnations.
    pub id: Arc<str>,
    /// Start time by the executor's clock, in milliseconds since the Unix epoch. A later
    /// incarnation has a higher one.
    pub started_ms: u64,
    /// Name of the pool that the executor belongs to.
    pub pool: Arc<str>,
    /// Network address in the form `host:port`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Labels that steps may require.
    pub labels: Vec<Arc<str>>,
    /// Rack of the host, if known.
    pub rack: Option<Arc<str>>,
    /// Total resources for tasks; changes while the executor runs.
    pub capacity: Resources,
}

/// Record of one incarnation of an executor and its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorRecord {
    /// What the executor announced when it was added, with the capacity that it announced last.
    pub incarnation: ExecutorIncarnation,
    /// Whether the executor has announced that it is leaving.
    pub leaving: bool,
    /// Runs that were placed on the executor and have not ended.
    pub runs: BTreeSet<RunId>,
}

impl ExecutorIncarnation {
    /// Returns whether the executor has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }
}
