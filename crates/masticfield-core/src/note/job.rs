//! Declaration of a job.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A job that a pool carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name of the job.
    pub name: Arc<str>,
    /// Pool whose hosts run it.
    pub pool: Arc<str>,
    /// Team whose quota it draws from.
    pub team: Arc<str>,
    /// Declared size of one task; the learnt size replaces it.
    pub size: Resources,
    /// Tasks of the job.
    #[serde(default = "JobSpec::default_tasks")]
    pub tasks: u32,
    /// Declared run time of one task; without it the job runs until it is withdrawn.
    #[serde(with = "humantime_serde", default)]
    pub run_time: Option<Duration>,
    /// What yields to what.
    #[serde(default)]
    pub priority: JobPriority,
}

/// Processors, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// Memory in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// Priority of a job, lowest first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum JobPriority {
    /// Long work that fills what is left, such as a nightly batch.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that starts within seconds and may displace lower work of its team.
    Urgent,
}

impl JobSpec {
    const fn default_tasks() -> u32 {
        1
    }
}

impl Resources {
    /// Creates an amount of resources.
    pub const fn new(millicores: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            millicores,
            memory_mb,
            accelerators,
        }
    }

    /// Whether this amount fits into `room`.
    pub const fn fits_into(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// The sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left of this amount without `other`, at least zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
