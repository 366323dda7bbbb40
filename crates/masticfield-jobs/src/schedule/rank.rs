//! In which order jobs get room.

use crate::job::JobSpec;
use crate::queue::QueueConfig;

/// Order of jobs of a pool; lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Jobs whose tasks last come first: they are owed work at any time.
    passing: bool,
    /// Priority of the queue.
    priority: u32,
    /// Time of day by which the job is on time, in milliseconds since the Unix epoch.
    due_ms: u64,
}

/// Ranks a job by priority, and then by when it is due.
pub fn rank(spec: &JobSpec, queue: &QueueConfig, accepted_ms: u64) -> Rank {
    Rank {
        passing: !spec.is_long_running(),
        priority: queue.priority,
        due_ms: accepted_ms + on_time_ms(spec, queue),
    }
}

/// How a job stands to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It can be on time if it gets room now.
    OnTime,
    /// It will be late, and its caller may still have a use for it.
    Late,
    /// It will be so late that its caller has hardly a use for it.
    TooLate,
}

/// Multiple of the objective after which callers have hardly a use for a job.
pub const USEFUL_FACTOR: u64 = 3;

/// How a job stands that needs at least `left_ms` more.
///
/// In a surge that a pool cannot hold, jobs that can be on time come before those that will be
/// late anyway; else each job would wait behind others until it is late as well.
pub fn timeliness(on_time_ms: u64, waited_ms: u64, left_ms: u64) -> Timeliness {
    let total = waited_ms + left_ms;
    if total <= on_time_ms {
        Timeliness::OnTime
    } else if total <= on_time_ms * USEFUL_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::TooLate
    }
}

/// Time within which a job is on time, in milliseconds.
pub fn on_time_ms(spec: &JobSpec, queue: &QueueConfig) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of a job, rounded"
    )]
    let work = (spec.critical_path_ms() as f64 * queue.stretch.max(1.0)) as u64;
    work + queue.target_ms
}
