//! Executors that start again under their identifier.
//!
//! Orders name an executor by its identifier and address, so that a later incarnation carries out
//! those that were meant for an earlier one, until it has answered a call of its own, which has a higher
//! fence; see [`ExecutorCall::fence`](crate::relay::ExecutorCall::fence). Reports and announcements
//! tell the incarnations apart, and so does the clock in an answer if the earlier one had run for some
//! time. A run that is not known to have been on an incarnation may therefore be on the next one.

use std::sync::Arc;
use std::time::Duration;

use super::executor::{RunOrigin, RunPhase};
use super::retirement::Retirement;
use super::{Call, Defect, Leader, Moment};
use crate::job::RunId;
use crate::schedule::lease_end;
use crate::state::{Command, ExecutorKey};

/// Longest time for which an order without an answer may be on its way.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// Time within which no executor ends and starts again; the users' are away for half a second.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);

impl Leader {
    /// Handles a report of a later incarnation than the one that was polled.
    ///
    /// Unless the later one may have runs of the earlier one, the earlier one is removed at once.
    /// Otherwise this waits for the announcement of the later one.
    pub(super) fn supersede(&mut self, now: Moment, key: ExecutorKey) {
        let unlocated = self.unlocated_runs(now, key).len();
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
        let runs = self.unlocated_runs(now, from);
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
    }

    /// Prepares a call that is sent now, some time after the decision to make it; returns whether it may
    /// be sent.
    ///
    /// The executor may have started again in the meantime. A call for an incarnation that was removed, or
    /// while another one is known to answer, would start runs that have been settled, and a poll would acknowledge ends of the later one that
    /// no report has listed.
    pub fn prepare_call(&mut self, now: Moment, executor: ExecutorKey, call: &mut Call) -> bool {
        if self.options.defect == Some(Defect::SendAfterRemoval) {
            return true;
        }
        let Some(view) = self.executors.get_mut(&executor) else {
            return false;
        };
        if view.superseded_at.is_some() {
            return false;
        }
        let extends_lease = match call {
            Call::Start { .. } => true,
            Call::Hold {
                deadline_ms,
                acknowledged,
                sent,
                ..
            } => {
                if now.monotonic > *sent + MIN_RESTART_TIME {
                    *acknowledged = 0;
                }
                deadline_ms.is_some()
            }
            Call::Stop { .. } => false,
        };
        if extends_lease {
            view.lease_extended_at = view.lease_extended_at.max(now.monotonic);
        }
        true
    }

    /// Returns the time by which every lease has certainly expired that a new incarnation may have got
    /// from calls for earlier ones, of which `former` is known.
    pub(super) fn former_leases_end(
        &self,
        now: Moment,
        id: &Arc<str>,
        former: Option<ExecutorKey>,
    ) -> Duration {
        if self.options.defect == Some(Defect::IgnoreFormerLeases) {
            return Duration::ZERO;
        }
        if let Some(view) = former.and_then(|former| self.executors.get(&former)) {
            let later = view.later_leases_end(now.monotonic, self.options.max_lease);
            return later.max(view.former_leases_end);
        }
        let removed = self.removed_leases_end.get(id).copied();
        removed.unwrap_or_default().max(self.takeover_leases_end)
    }

    /// Keeps until when calls for an incarnation that is removed may have extended the lease of one
    /// that has not announced itself.
    pub(super) fn record_removed_leases(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        id: &Arc<str>,
        reason: Retirement,
    ) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let called = if reason == Retirement::Reborn {
            now.monotonic
        } else {
            view.lease_extended_at
        };
        let later = view.later_leases_end(called, self.options.max_lease);
        let leases_end = later.max(view.former_leases_end);
        self.removed_leases_end
            .retain(|_, end| *end > now.monotonic);
        if leases_end > now.monotonic {
            self.removed_leases_end.insert(Arc::clone(id), leases_end);
        }
    }

    /// Returns the longest lease that calls for former incarnations of an executor, of which `former` is
    /// known, may still grant; `None` if none can be on their way.
    pub(super) fn pending_former_lease(
        &self,
        id: &Arc<str>,
        former: Option<ExecutorKey>,
    ) -> Option<Duration> {
        if self.options.defect == Some(Defect::TrustRemoved) {
            return None;
        }
        let max_lease = self.options.max_lease;
        if let Some(view) = former.and_then(|former| self.executors.get(&former)) {
            return Some(view.longest_later_lease(max_lease));
        }
        self.state.removed(id).map(|_started_ms| max_lease)
    }

    /// Records that an incarnation has answered a poll, after which it refuses calls for former ones;
    /// returns whether it might have carried them out until now.
    pub(super) fn end_former_calls(&mut self, now: Moment, key: ExecutorKey) -> bool {
        let may_have_leases = self.state.may_have_former_leases(key)
            && self.options.defect != Some(Defect::IgnoreFormerLeases);
        let Some(view) = self.executors.get_mut(&key) else {
            return false;
        };
        let Some(lease) = view.pending_former_lease.take() else {
            return false;
        };
        if may_have_leases {
            let latest = lease_end(now.monotonic, lease);
            view.former_leases_end = view.former_leases_end.max(latest);
        }
        true
    }

    /// Records in the state when an executor can no longer hold a lease by calls for former
    /// incarnations, so that the next leader need not wait for it.
    pub(super) fn check_former_leases(&mut self, now: Moment, key: ExecutorKey) {
        let view = self.executors.get(&key);
        let over = view.is_some_and(|view| {
            view.pending_former_lease.is_none() && now.monotonic > view.former_leases_end
        });
        if over && self.state.may_have_former_leases(key) {
            let (executor, possible) = (key, false);
            self.propose(Command::FormerLeases { executor, possible });
        }
    }

    /// Returns the runs on an executor that may be on a later incarnation of it: those that no report
    /// has located, those with an order that may still be carried out, and those that a former leader, or
    /// for a former incarnation this one, may have ordered without an answer.
    fn unlocated_runs(&self, now: Moment, key: ExecutorKey) -> Vec<RunId> {
        if self.options.defect == Some(Defect::GoneWithIncarnation) {
            return Vec::new();
        }
        let runs = self.executors.get(&key).into_iter();
        let runs = runs.flat_map(|view| &view.runs);
        let unlocated = runs.filter(|(_, view)| {
            let is_recent = now.monotonic < view.placed_at + MAX_ORDER_DELAY;
            view.may_be_on_later() || (view.origin != RunOrigin::Placed && is_recent)
        });
        unlocated.map(|(run, _)| *run).collect()
    }
}
