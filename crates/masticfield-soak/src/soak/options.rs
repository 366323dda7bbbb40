//! Options of a soak.

use std::path::PathBuf;

use crate::faults::{FaultSet, PlanOptions};
use crate::programs::Binaries;

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the plan and of the stand-ins.
    pub seed: u64,
    /// Time in which faults begin, in milliseconds.
    pub length_ms: u64,
    /// Number of control programs.
    pub controls: usize,
    /// Number of entry programs.
    pub entries: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of callers.
    pub callers: usize,
    /// The faults that may be injected.
    pub faults: FaultSet,
    /// Factor on bounds that hold only without disturbance, for busy machines.
    pub stretch: u32,
    /// Folder of logs, settings and data.
    pub folder: PathBuf,
    /// The programs.
    pub binaries: Binaries,
}

impl SoakOptions {
    /// Options from which the plan is drawn.
    pub const fn plan_options(&self) -> PlanOptions {
        PlanOptions {
            seed: self.seed,
            length_ms: self.length_ms,
            interval_ms: 1_200,
            controls: self.controls,
            entries: self.entries,
            executors: self.executors,
            faults: self.faults,
        }
    }
}
