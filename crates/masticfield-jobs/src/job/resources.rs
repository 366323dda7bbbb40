//! Amounts of processor time, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Amounts of processor time, memory and accelerators.
///
/// Describes both what a task needs and what an executor offers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether every amount is at least that of `need`.
    pub const fn covers(self, need: Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.gpus <= self.gpus
    }

    /// Returns the processor time in cores.
    #[expect(clippy::cast_precision_loss, reason = "cores of a pool")]
    pub fn cores(self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }

    /// Adds each amount, saturating at [`u64::MAX`].
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the lower of both values of each amount.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns the higher of both values of each amount.
    #[must_use]
    pub fn most(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Multiplies each amount by `factor`, rounding up.
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

    /// Subtracts each amount, saturating at 0.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
