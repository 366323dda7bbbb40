//! Order of waiting jobs within a pool.

use crate::job::JobSpec;
use crate::queue::QueueConfig;

/// Multiple of the on-time limit after which a job's result is hardly useful to its caller.
pub const USEFUL_FACTOR: u64 = 3;

/// Sort key of a pool's waiting jobs; lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// False for jobs with long-running tasks, which come first: they must run at all times.
    finite: bool,
    /// Priority of the queue.
    priority: u32,
    /// Wall-clock time by which the job is on time, in milliseconds since the Unix epoch.
    due_ms: u64,
}

/// Ranks a job: long-running first, then by the queue's priority, then by due time.
pub fn rank(spec: &JobSpec, queue: &QueueConfig, accepted_ms: u64) -> Rank {
    Rank {
        finite: !spec.is_long_running(),
        priority: queue.priority,
        due_ms: accepted_ms.saturating_add(on_time_ms(spec, queue)),
    }
}

/// Whether a waiting job can still meet its queue's objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job can be on time if it starts now.
    OnTime,
    /// The job will be late, but its result may still be useful.
    Late,
    /// The job will be so late that its result is hardly useful; see [`USEFUL_FACTOR`].
    TooLate,
}

/// Classifies a job that has waited for `waited_ms` and needs at least `remaining_ms` more.
///
/// In a surge that exceeds the pool, jobs that can be on time are scheduled before those that will
/// be late anyway; otherwise every job would wait behind others until it is late as well.
pub fn timeliness(on_time_ms: u64, waited_ms: u64, remaining_ms: u64) -> Timeliness {
    let total = waited_ms.saturating_add(remaining_ms);
    if total <= on_time_ms {
        Timeliness::OnTime
    } else if total <= on_time_ms.saturating_mul(USEFUL_FACTOR) {
        Timeliness::Late
    } else {
        Timeliness::TooLate
    }
}

/// Returns the time after its submission within which a job is on time, in milliseconds.
pub fn on_time_ms(spec: &JobSpec, queue: &QueueConfig) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a job, rounded"
    )]
    let work = (spec.critical_path_ms() as f64 * queue.stretch.max(1.0)) as u64;
    work.saturating_add(queue.target_ms)
}
