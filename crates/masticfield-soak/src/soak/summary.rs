//! The result of a soak.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use crate::checker::{Counts, Violation};

/// Maximum number of violations that are printed; `history.log` has all of them.
const MAX_PRINTED: usize = 20;

/// The result of a soak.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Seed of the soak.
    pub seed: u64,
    /// Folder of logs, settings and data.
    pub folder: PathBuf,
    /// Number of faults that were injected, by kind.
    pub faults: BTreeMap<&'static str, u32>,
    /// What was observed.
    pub counts: Counts,
    /// Time from the end of the last fault until all jobs had ended, in milliseconds.
    pub settled_after_ms: u64,
    /// Promises that were not kept.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u32 = self.faults.values().sum();
        let Counts {
            accepted,
            refused,
            completed,
            failed,
            cancelled,
            starts,
            configs,
            config_reads,
        } = self.counts;
        writeln!(
            f,
            "seed {}: {} violations",
            self.seed,
            self.violations.len()
        )?;
        writeln!(f, "faults: {total} {:?}", self.faults)?;
        writeln!(
            f,
            "jobs: {accepted} accepted, {refused} refused, {completed} completed, {failed} failed, \
             {cancelled} cancelled; {starts} runs"
        )?;
        writeln!(
            f,
            "configurations: {configs} acknowledged, {config_reads} read; settled after {} ms",
            self.settled_after_ms
        )?;
        let mut by_promise = BTreeMap::new();
        for violation in &self.violations {
            *by_promise.entry(violation.promise).or_insert(0_u32) += 1;
        }
        for (promise, number) in by_promise {
            writeln!(f, "{number} violations of {promise:?}")?;
        }
        for violation in self.violations.iter().take(MAX_PRINTED) {
            writeln!(f, "violation {violation}")?;
        }
        write!(f, "logs: {}", self.folder.display())
    }
}
