//! Placements of all tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_core::fleet::TaskPhase;
use serde::{Deserialize, Serialize};

use super::{Placement, PlacementState, TaskEnd, TaskKey};
use crate::{Refusal, Verdict};

/// The latest attempt at every task, and the jobs that were given up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTable {
    placements: BTreeMap<TaskKey, Placement>,
    stopped_jobs: BTreeSet<Arc<str>>,
}

impl TaskTable {
    /// Iterates over the latest attempt at each task, whether it has ended or not.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskKey, &Placement)> {
        self.placements.iter()
    }

    /// Iterates over the attempts that may still hold resources.
    pub fn held(&self) -> impl Iterator<Item = (&TaskKey, &Placement)> {
        self.iter().filter(|(_, placement)| placement.is_held())
    }

    /// The jobs that were given up.
    pub const fn stopped_jobs(&self) -> &BTreeSet<Arc<str>> {
        &self.stopped_jobs
    }

    /// Places an attempt.
    ///
    /// Returns the verdict, and whether an unfinished task changed hosts.
    pub(crate) fn place(&mut self, key: TaskKey, next: Placement) -> (Verdict, bool) {
        if self.stopped_jobs.contains(&key.job) {
            return (Verdict::Refused(Refusal::JobStopped), false);
        }
        let mut moved = false;
        if let Some(last) = self.placements.get(&key) {
            if last.is_held() && last.attempt == next.attempt && last.host == next.host {
                return (Verdict::Repeated, false);
            }
            let attempt = last.attempt;
            if next.attempt <= attempt {
                return (Verdict::Refused(Refusal::StaleAttempt { attempt }), false);
            }
            if last.is_held() {
                return (Verdict::Refused(Refusal::TaskHeld { attempt }), false);
            }
            let finished = PlacementState::Ended(TaskPhase::Finished);
            moved = last.host != next.host && last.state != finished;
        }
        self.placements.insert(key, next);
        (Verdict::Done, moved)
    }

    /// Records an order to an attempt that may still hold resources.
    pub(crate) fn order(&mut self, key: &TaskKey, attempt: u32, order: PlacementState) -> Verdict {
        let Some(placement) = self.placements.get_mut(key) else {
            return Verdict::Refused(Refusal::NotPlaced);
        };
        if placement.attempt != attempt || !placement.is_held() {
            let attempt = placement.attempt;
            return Verdict::Refused(Refusal::StaleAttempt { attempt });
        }
        if placement.state == order {
            return Verdict::Repeated;
        }
        placement.state = order;
        Verdict::Done
    }

    /// Records the end of an attempt; returns `None`, without a change, if it is not held.
    pub(crate) fn end(&mut self, end: &TaskEnd) -> Option<&Placement> {
        if end.phase.holds_resources() {
            return None;
        }
        let key = TaskKey {
            job: Arc::clone(&end.job),
            index: end.index,
        };
        let is_same =
            |placement: &&mut Placement| placement.attempt == end.attempt && placement.is_held();
        let placement = self.placements.get_mut(&key).filter(is_same)?;
        placement.state = PlacementState::Ended(end.phase);
        Some(placement)
    }

    /// Marks every held attempt on a host as lost, once the host holds no lease.
    pub(crate) fn mark_host_lost(&mut self, host: &str) {
        for placement in self.placements.values_mut() {
            if placement.is_held() && placement.host.as_ref() == host {
                placement.state = PlacementState::Ended(TaskPhase::Lost);
            }
        }
    }

    /// Gives up on a job; no more of its tasks are placed.
    pub(crate) fn stop_job(&mut self, job: &Arc<str>) -> Verdict {
        if self.stopped_jobs.insert(Arc::clone(job)) {
            Verdict::Done
        } else {
            Verdict::Repeated
        }
    }

    /// Removes ended tasks and given-up marks of jobs that are not configured any more.
    pub(crate) fn retain_jobs(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.stopped_jobs.retain(|job| is_configured(job));
        self.placements
            .retain(|key, placement| placement.is_held() || is_configured(&key.job));
    }

    /// Allows a job that was given up to run again, after an operator has declared it anew.
    pub(crate) fn resume_job(&mut self, job: &str) {
        self.stopped_jobs.remove(job);
    }
}
