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
        passing: !spec.lasts(),
        priority: queue.priority,
        due_ms: accepted_ms + on_time_ms(spec, queue),
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
    let work = (spec.chain_ms() as f64 * queue.stretch.max(1.0)) as u64;
    work + queue.target_ms
}
