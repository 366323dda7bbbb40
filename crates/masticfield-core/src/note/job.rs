//! Declaration of a job.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A job that runs on the hosts of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name of the job.
    pub name: Arc<str>,
    /// Name of the pool whose hosts run the job.
    pub pool: Arc<str>,
    /// Name of the team whose quota the job uses.
    pub team: Arc<str>,
    /// Declared resources of one task; once a size has been learned, it is used instead.
    pub size: Resources,
    /// Number of tasks of the job.
    #[serde(default = "JobSpec::default_tasks")]
    pub tasks: u32,
    /// Declared run time of one task; without one, the job runs until it is withdrawn.
    #[serde(with = "humantime_serde", default)]
    pub run_time: Option<Duration>,
    /// Priority over other jobs.
    #[serde(default)]
    pub priority: JobPriority,
}

/// Amount of processor time, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// Priority of a job; variants are ordered from lowest to highest.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum JobPriority {
    /// Long work that uses free capacity, such as a nightly batch.
    Batch,
    /// Work without special urgency.
    #[default]
    Normal,
    /// Work that must start within seconds and may preempt its team's work of lower priority.
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

    /// Creates an amount from cores, gigabytes and accelerators, saturating at the numeric bounds.
    pub const fn from_units(cores: u32, memory_gb: u32, accelerators: u32) -> Self {
        Self {
            millicores: cores.saturating_mul(1_000),
            memory_mb: memory_gb.saturating_mul(1_024),
            accelerators,
        }
    }

    /// Returns whether this amount fits into `free`.
    pub const fn fits_into(self, free: Self) -> bool {
        self.millicores <= free.millicores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Returns the sum of two amounts, saturating at the numeric bounds.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns this amount reduced by `other`, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
