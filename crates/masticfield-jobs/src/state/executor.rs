//! Executors that the state knows.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::{Resources, RunId};

/// Key of one life of an executor in the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExecutorKey(pub u32);

/// One life of an executor, as it told of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorIncarnation {
    /// Identifier; a later life may have the same one.
    pub id: Arc<str>,
    /// When the life began, in milliseconds since the Unix epoch by the executor's clock.
    pub started_ms: u64,
    /// Pool.
    pub pool: Arc<str>,
    /// Address, as host and port.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Labels that steps may ask for.
    pub labels: Vec<Arc<str>>,
    /// Rack, if it is known.
    pub rack: Option<Arc<str>>,
    /// What its tasks may take together.
    pub capacity: Resources,
}

/// One life of an executor with what runs there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorRecord {
    /// The life.
    pub incarnation: ExecutorIncarnation,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// Runs that may be there.
    pub runs: BTreeSet<RunId>,
}

impl ExecutorIncarnation {
    /// Whether the executor has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }
}
