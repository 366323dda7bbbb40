//! Shares of workspaces, as the leader keeps them.

use std::collections::HashMap;

use super::{Leader, Moment};
use crate::job::JobId;
use crate::queue::WorkspaceId;
use crate::schedule::FairShares;

/// Shares of workspaces, and the position of each open job in them. A new leader rebuilds them.
#[derive(Debug, Default)]
pub(super) struct Shares {
    fair: FairShares<WorkspaceId>,
    jobs: HashMap<JobId, JobShare>,
}

/// Position of a job in the shares of its workspace.
#[derive(Debug, Clone, Copy)]
struct JobShare {
    workspace: WorkspaceId,
    in_share: bool,
    start_tag: f64,
}

impl Shares {
    /// Returns whether a job is within its workspace's share, and its start tag. Jobs without a
    /// workspace are, as those of public queues are nobody's surplus.
    pub(super) fn of(&self, job: JobId) -> (bool, f64) {
        let share = self.jobs.get(&job);
        share.map_or((true, 0.0), |share| (share.in_share, share.start_tag))
    }

    /// Returns whether a new job would be within the share of its workspace.
    pub(super) fn is_in_share(&self, now: Moment, workspace: Option<WorkspaceId>) -> bool {
        workspace.is_none_or(|workspace| self.fair.is_in_share(now.monotonic, workspace))
    }

    /// Records a new job, whether or not it is accepted.
    pub(super) fn record_offered(&mut self, now: Moment, workspace: Option<WorkspaceId>) {
        if let Some(workspace) = workspace {
            self.fair.record_offered(now.monotonic, workspace);
        }
    }

    /// Records an accepted job.
    pub(super) fn accept(
        &mut self,
        now: Moment,
        job: JobId,
        workspace: Option<WorkspaceId>,
        work: f64,
    ) {
        let Some(workspace) = workspace else {
            return;
        };
        let in_share = self.fair.is_in_share(now.monotonic, workspace);
        let start_tag = self.fair.accept(now.monotonic, workspace, in_share, work);
        let share = JobShare {
            workspace,
            in_share,
            start_tag,
        };
        self.jobs.insert(job, share);
    }

    /// Records the first start of a job's tasks.
    pub(super) fn serve(&mut self, now: Moment, job: JobId) {
        if let Some(share) = self.jobs.get(&job) {
            self.fair
                .serve(now.monotonic, share.workspace, share.start_tag);
        }
    }

    /// Forgets the jobs that are not open.
    pub(super) fn forget(&mut self, open: impl Fn(JobId) -> bool) {
        self.jobs.retain(|job, _| open(*job));
    }
}

impl Leader {
    /// Returns the fairness index over workspaces; see [`FairShares::fairness_index`].
    pub fn fairness_index(&self) -> f64 {
        self.shares.fair.fairness_index()
    }

    /// Updates the workspaces and weights from the configuration in force.
    pub(super) fn configure_shares(&mut self) {
        let config = self.state.config().map(|stored| &stored.config);
        let configured = config.and_then(|config| config.workspaces.as_deref());
        let configured = configured.unwrap_or_default();
        let weights: HashMap<_, _> = configured
            .iter()
            .map(|workspace| (&workspace.name, workspace.weight))
            .collect();
        let members = self.state.workspaces().filter_map(|(id, workspace)| {
            let weight = weights.get(&workspace.name)?;
            Some((id, *weight))
        });
        self.shares.fair.set_members(members);
    }

    /// Rebuilds the shares from the acceptance times of the jobs in the state.
    pub(super) fn rebuild_shares(&mut self, now: Moment) {
        let jobs = self.state.jobs().filter_map(|(id, job)| {
            let work = job.spec.as_ref().map(crate::job::JobSpec::work);
            Some((job.accepted_ms, id, job.workspace?, work, job.started))
        });
        let mut jobs: Vec<_> = jobs.collect();
        jobs.sort_unstable_by_key(|(accepted_ms, id, ..)| (*accepted_ms, *id));
        for (accepted_ms, id, workspace, work, started) in jobs {
            let age = now.wall_ms.saturating_sub(accepted_ms);
            let age = std::time::Duration::from_millis(age);
            let Some(monotonic) = now.monotonic.checked_sub(age) else {
                continue;
            };
            let at = Moment {
                monotonic,
                wall_ms: accepted_ms,
            };
            self.shares.record_offered(at, Some(workspace));
            self.shares
                .accept(at, id, Some(workspace), work.unwrap_or_default());
            if started || work.is_none() {
                self.shares.serve(at, id);
            }
        }
        let state = &self.state;
        let open = |job| state.job(job).is_some_and(|job| job.spec.is_some());
        self.shares.forget(open);
    }
}
