//! What is known of a task from executors.

use masticfield_jobs::state::EndKind;

use super::ExecutorNumber;

/// Runs of a task that are in progress, and ends that executors have listed.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskView {
    /// Executor and number of each run in progress.
    pub(super) running: Vec<(ExecutorNumber, u32)>,
    pub(super) ends: Vec<EndView>,
}

/// An end that an executor has listed.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndView {
    pub(super) executor: ExecutorNumber,
    pub(super) number: u64,
    pub(super) kind: EndKind,
    pub(super) run: u32,
    pub(super) state: EndState,
    /// Time of the first start after this end.
    pub(super) restarted_at: Option<u64>,
}

/// Whether the programs have acknowledged an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndState {
    /// The executor still lists the end.
    Listed,
    /// The programs have acknowledged it.
    Acknowledged,
    /// It does not bind the programs, since the lease expired first.
    Void,
}

impl TaskView {
    /// Number of ends of a kind that bind the programs.
    pub(super) fn acknowledged(&self, kind: EndKind) -> usize {
        let ends = self.ends.iter().filter(|end| end.kind == kind);
        ends.filter(|end| end.state == EndState::Acknowledged)
            .count()
    }

    /// Whether a run has ended like this on any executor.
    pub(super) fn has_ended(&self, kind: EndKind) -> bool {
        self.ends.iter().any(|end| end.kind == kind)
    }

    /// Number of ends of a kind.
    pub(super) fn count(&self, kind: EndKind) -> usize {
        self.ends.iter().filter(|end| end.kind == kind).count()
    }
}
