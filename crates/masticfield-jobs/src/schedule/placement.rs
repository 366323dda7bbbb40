//! On which executor a task starts.

use std::sync::Arc;

use crate::job::{Resources, StepSpec};
use crate::state::ExecutorKey;

/// What a task asks of its executor.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The task's step.
    pub step: &'a StepSpec,
    /// Rack on which other tasks of the step are, if they belong together.
    pub near_rack: Option<&'a Arc<str>>,
}

/// An executor that may start tasks.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The executor.
    pub key: ExecutorKey,
    /// What is free.
    pub free: Resources,
    /// Labels.
    pub labels: &'a [Arc<str>],
    /// Rack.
    pub rack: Option<&'a Arc<str>>,
    /// Tasks of the same step that are there.
    pub siblings: u32,
    /// Tasks that serve users there.
    pub serving: u32,
    /// Tasks there that take what others leave.
    pub best_effort: u32,
}

/// Chooses the executor for a task, or none if no candidate will do.
///
/// Tasks go to the rack of their data. Tasks that serve users and tasks that fill keep apart,
/// as they disturb each other. Lasting tasks share few executors, so that the others can be given
/// up or taken for upkeep; those of one step are spread over them. Otherwise the fullest executor
/// with room is taken, so that the others become empty and can help where a surge is.
pub fn choose<'a>(
    request: PlacementRequest<'_>,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<ExecutorKey> {
    let fitting = candidates.filter(|candidate| fits(request, candidate));
    let best = fitting.min_by_key(|candidate| cost(request, candidate));
    best.map(|candidate| candidate.key)
}

fn fits(request: PlacementRequest<'_>, candidate: &Candidate<'_>) -> bool {
    let label = request.step.label.as_ref();
    let below = request.step.max_per_executor;
    // Tasks that fill may push the response times of serving tasks over their bound.
    let disturbs = request.step.best_effort && candidate.serving > 0;
    let disturbed = request.step.max_tail_ms.is_some() && candidate.best_effort > 0;
    !disturbs
        && !disturbed
        && candidate.free.covers(request.step.reserved())
        && label.is_none_or(|label| candidate.labels.contains(label))
        && below.is_none_or(|most| candidate.siblings < most.max(1))
}

/// Lower is better, in this order: far from where it should be, disturbed, apart from other
/// lasting tasks, beside tasks of the same step, and by room.
type Cost = (bool, u32, bool, u32, u64);

fn cost(request: PlacementRequest<'_>, candidate: &Candidate<'_>) -> Cost {
    let wanted = request.step.data_rack.as_ref().or(request.near_rack);
    let far = wanted.is_some() && wanted != candidate.rack;
    let room = candidate.free.cpu_milli;
    if request.step.best_effort {
        let disturbed = candidate.serving + candidate.best_effort;
        return (far, disturbed, false, candidate.siblings, u64::MAX - room);
    }
    if request.step.long_running {
        let apart = candidate.serving == 0;
        return (
            far,
            candidate.best_effort,
            apart,
            candidate.siblings,
            u64::MAX - room,
        );
    }
    (far, 0, false, 0, room)
}
