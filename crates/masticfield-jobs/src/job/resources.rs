//! What a task needs and an executor has.

use serde::{Deserialize, Serialize};

/// Processor time, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether these are enough for `need`.
    pub const fn covers(self, need: Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.gpus <= self.gpus
    }

    /// Processor time in cores.
    #[expect(clippy::cast_precision_loss, reason = "cores of a pool")]
    pub fn cores(self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }

    /// The sum.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// A share of each.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "resources of a pool, rounded"
    )]
    pub fn scaled(self, factor: f64) -> Self {
        let scale = |value: u64| (value as f64 * factor).ceil() as u64;
        Self {
            cpu_milli: scale(self.cpu_milli),
            memory_mb: scale(self.memory_mb),
            gpus: scale(self.gpus),
        }
    }

    /// What is left after taking `other` away; nothing where there is less.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
