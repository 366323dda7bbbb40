//! Sizes and run times learnt from usage.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

/// What is learnt of each job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learnt {
    jobs: BTreeMap<Arc<str>, Resources>,
}

impl Learnt {
    /// The learnt size of one task of a job.
    pub fn size(&self, job: &str) -> Option<Resources> {
        self.jobs.get(job).copied()
    }
}
