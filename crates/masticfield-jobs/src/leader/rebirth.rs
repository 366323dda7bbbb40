//! Executors that start again under their identifier.
//!
//! Orders name an executor by its identifier and address, so that a later incarnation carries out
//! those that were meant for an earlier one. Reports and announcements tell the incarnations apart,
//! and so does the clock in an answer if the earlier one had run for some time. A run that is not
//! known to have been on an incarnation may therefore be on the next one.

use std::sync::Arc;

use super::executor::{RunLocation, RunOrigin, RunPhase};
use super::retirement::Retirement;
use super::{Defect, Leader, Moment};
use crate::job::RunId;
use crate::schedule::lease_end;
use crate::state::{Command, ExecutorKey};

impl Leader {
    /// Handles a report of a later incarnation than the one that was polled.
    ///
    /// Unless the later one may have runs of the earlier one, the earlier one is removed at once.
    /// Otherwise this waits for the announcement of the later one.
    pub(super) fn supersede(&mut self, now: Moment, key: ExecutorKey) {
        let unlocated = self.unlocated_runs(key).len();
        if unlocated == 0 {
            return self.retire(now, key, Retirement::Reborn);
        }
        if let Some(view) = self.executors.get_mut(&key)
            && view.superseded_at.is_none()
        {
            view.superseded_at = Some(now.monotonic);
            view.responsive = false;
            log::info!(
                executor = key.0, runs = view.runs.len(), unlocated;
                "another incarnation answers, which may have runs of this one"
            );
        }
    }

    /// Assigns the runs of an incarnation that a later one may have to the later one, if it is known,
    /// whose reports settle them.
    pub(super) fn reassign_unlocated_runs(
        &mut self,
        now: Moment,
        from: ExecutorKey,
        id: &Arc<str>,
    ) {
        let successor = self.key_by_id.get(id).copied();
        let Some(to) = successor.filter(|to| *to != from) else {
            return;
        };
        let runs = self.unlocated_runs(from);
        if runs.is_empty() {
            return;
        }
        for run in runs {
            if !self.propose(Command::Reassign { run, from, to }) {
                continue;
            }
            log::info!(run:%, from = from.0, to = to.0; "run may be on another incarnation");
            let mut view = self.new_run_view(now, run, RunPhase::Inherited);
            view.origin = RunOrigin::Reassigned;
            if let Some(executor) = self.executors.get_mut(&to) {
                executor.add_run(run, view);
            }
        }
        // Former incarnations and leaders may have extended the lease as well.
        let leases_end = lease_end(now.monotonic, self.options.max_lease);
        if let Some(view) = self.executors.get_mut(&to) {
            view.former_leases_end = leases_end;
        }
    }

    /// Returns the runs on an executor that may be on a later incarnation of it: those that no report
    /// has located, and those with an order that may still be carried out.
    fn unlocated_runs(&self, key: ExecutorKey) -> Vec<RunId> {
        if self.options.defect == Some(Defect::GoneWithIncarnation) {
            return Vec::new();
        }
        let runs = self.executors.get(&key).into_iter();
        let runs = runs.flat_map(|view| &view.runs);
        let unlocated = runs.filter(|(_, view)| {
            view.location == RunLocation::ThisOrLater || view.pending_starts > 0
        });
        unlocated.map(|(run, _)| *run).collect()
    }
}
