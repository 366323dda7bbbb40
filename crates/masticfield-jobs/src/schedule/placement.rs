//! Choice of the executor on which a task starts.

use std::sync::Arc;

use crate::job::{Resources, StepSpec};
use crate::state::ExecutorKey;

/// Requirements of a task that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Step that the task belongs to.
    pub step: &'a StepSpec,
    /// Rack of the step's other tasks, if they should share one.
    pub near_rack: Option<&'a Arc<str>>,
}

/// An executor that can accept tasks.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Key of the executor.
    pub key: ExecutorKey,
    /// Capacity that no run reserves.
    pub free: Resources,
    /// Labels that steps may require.
    pub labels: &'a [Arc<str>],
    /// Rack of the executor, if known.
    pub rack: Option<&'a Arc<str>>,
    /// Number of tasks of the same step on the executor.
    pub siblings: u32,
    /// Number of long-running tasks on the executor that are not best-effort.
    pub serving: u32,
    /// Number of best-effort tasks on the executor.
    pub best_effort: u32,
    /// Whether the executor's host is still due for upkeep in a wave that is under way.
    pub upkeep_due: bool,
}

/// Returns the best executor for a task, or `None` if no candidate is suitable.
///
/// - Tasks go to the rack of their data, or else to the requested rack of their step's other tasks.
/// - Best-effort and serving tasks are kept apart, since they disturb each other.
/// - Long-running tasks are packed onto few executors, so that the others can be released or
///   drained; tasks of one step are spread over these executors. Hosts that are due for upkeep are
///   avoided, as the tasks would soon be stopped again.
/// - Other tasks go to the fullest executor that can hold them, so that the remaining ones become
///   empty and can be moved to a pool with a surge.
pub fn choose<'a>(
    request: PlacementRequest<'_>,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<ExecutorKey> {
    let fitting = candidates.filter(|candidate| fits(request, candidate));
    let best = fitting.min_by_key(|candidate| cost(request, candidate));
    best.map(|candidate| candidate.key)
}

/// Returns whether a candidate is suitable for a task.
pub(crate) fn fits(request: PlacementRequest<'_>, candidate: &Candidate<'_>) -> bool {
    let label = request.step.label.as_ref();
    let max_siblings = request.step.max_per_executor;
    // Best-effort tasks may push the tail latency of serving tasks over its limit.
    let disturbs = request.step.best_effort && candidate.serving > 0;
    let disturbed = request.step.max_tail_ms.is_some() && candidate.best_effort > 0;
    !disturbs
        && !disturbed
        && candidate.free.covers(request.step.reserved())
        && label.is_none_or(|label| candidate.labels.contains(label))
        && max_siblings.is_none_or(|most| candidate.siblings < most.max(1))
}

/// Cost of a candidate; lower is better.
///
/// In this order: on another rack than wanted, number of disturbing tasks, due for upkeep (2) or
/// without other long-running tasks (1), number of siblings, and the free processor time (or, where spreading is
/// wanted, its complement).
type Cost = (bool, u32, u32, u32, u64);

fn cost(request: PlacementRequest<'_>, candidate: &Candidate<'_>) -> Cost {
    let wanted = request.step.data_rack.as_ref().or(request.near_rack);
    let far = wanted.is_some() && wanted != candidate.rack;
    let free_milli = candidate.free.cpu_milli;
    if request.step.best_effort {
        let disturbed = candidate.serving + candidate.best_effort;
        return (far, disturbed, 0, candidate.siblings, u64::MAX - free_milli);
    }
    if request.step.long_running {
        let avoided = 2 * u32::from(candidate.upkeep_due) + u32::from(candidate.serving == 0);
        return (
            far,
            candidate.best_effort,
            avoided,
            candidate.siblings,
            u64::MAX - free_milli,
        );
    }
    (far, 0, 0, 0, free_milli)
}
