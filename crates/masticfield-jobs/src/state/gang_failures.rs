//! Failed runs of gangs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::{RunId, TaskId};

/// Failed runs of the gangs of a job. Each counts as one attempt, however many members failed in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct GangFailures {
    /// Number of members that have failed, by occurrence, step and number of the run.
    members: BTreeMap<(u32, u16, u32), u32>,
}

impl GangFailures {
    /// Records that a member has failed; returns whether it is the first one in its run.
    pub(super) fn record(&mut self, run: RunId) -> bool {
        let TaskId {
            occurrence, step, ..
        } = run.task;
        let members = self.members.entry((occurrence, step, run.number));
        let members = members.or_default();
        *members += 1;
        *members == 1
    }

    /// Returns the number of failed ends of members of a task's gang that were not the first one in
    /// their run.
    pub(super) fn repeated(&self, task: TaskId) -> u32 {
        let TaskId {
            occurrence, step, ..
        } = task;
        let runs = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        let runs = self.members.range(runs);
        runs.map(|(_, members)| members.saturating_sub(1)).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
