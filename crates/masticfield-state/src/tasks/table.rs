//! The placements of all tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_core::fleet::TaskPhase;
use serde::{Deserialize, Serialize};

use super::{Placement, PlacementState, TaskEnd, TaskKey};
use crate::{Refusal, Verdict};

/// The latest attempt at every task, and the jobs that were stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTable {
    placements: BTreeMap<TaskKey, Placement>,
    stopped: BTreeSet<Arc<str>>,
}

impl TaskTable {
    /// The latest attempt at each task, ended or not.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskKey, &Placement)> {
        self.placements.iter()
    }

    /// The placements that may hold resources.
    pub fn held(&self) -> impl Iterator<Item = (&TaskKey, &Placement)> {
        self.iter().filter(|(_, placement)| placement.is_held())
    }

    /// The jobs that were given up.
    pub const fn stopped_jobs(&self) -> &BTreeSet<Arc<str>> {
        &self.stopped
    }

    /// Places an attempt. `moved` is set if the task was on another host and had not finished.
    pub(crate) fn place(&mut self, key: TaskKey, next: Placement) -> (Verdict, bool) {
        if self.stopped.contains(&key.job) {
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

    /// Orders something of a held attempt.
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

    /// Records the end of an attempt; ends of other attempts change nothing.
    pub(crate) fn end(&mut self, end: &TaskEnd) -> Option<&Placement> {
        if end.phase.holds_resources() {
            return None;
        }
        let key = TaskKey {
            job: Arc::clone(&end.job),
            index: end.index,
        };
        let held =
            |placement: &&mut Placement| placement.attempt == end.attempt && placement.is_held();
        let placement = self.placements.get_mut(&key).filter(held)?;
        placement.state = PlacementState::Ended(end.phase);
        Some(placement)
    }

    /// Ends every held attempt on a host that holds no lease any more.
    pub(crate) fn lose_host(&mut self, host: &str) {
        for placement in self.placements.values_mut() {
            if placement.is_held() && placement.host.as_ref() == host {
                placement.state = PlacementState::Ended(TaskPhase::Lost);
            }
        }
    }

    /// Gives up on a job.
    pub(crate) fn stop_job(&mut self, job: &Arc<str>) -> Verdict {
        if self.stopped.insert(Arc::clone(job)) {
            Verdict::Done
        } else {
            Verdict::Repeated
        }
    }

    /// Forgets ended tasks and stops of jobs that are not in the configuration any more.
    pub(crate) fn retain_jobs(&mut self, known: impl Fn(&str) -> bool) {
        self.stopped.retain(|job| known(job));
        self.placements
            .retain(|key, placement| placement.is_held() || known(&key.job));
    }

    /// Lets a job that an operator declared anew start again.
    pub(crate) fn allow_job(&mut self, job: &str) {
        self.stopped.remove(job);
    }
}
