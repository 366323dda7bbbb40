//! Starts of a task that executors reject as malformed.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::state::ExecutorKey;

/// Delay of the next start on an executor that has rejected one; it doubles with each rejection in a
/// row.
const FIRST_DELAY: Duration = Duration::from_secs(1);

/// Longest such delay.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Starts of a task that executors have rejected as malformed, since one has accepted a start.
///
/// The executor may be at fault, or the task. So the others are tried first, the first of them at once,
/// and starts become less frequent with each rejection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RejectedStarts {
    count: u32,
    latest: Duration,
    executors: BTreeSet<ExecutorKey>,
}

impl RejectedStarts {
    pub(super) fn record(&mut self, now: Duration, executor: ExecutorKey) {
        self.count = self.count.saturating_add(1);
        self.latest = now;
        self.executors.insert(executor);
    }

    /// Returns the number of rejections in a row.
    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether the task starts nowhere for now.
    pub(super) fn is_delayed(&self, now: Duration) -> bool {
        now < self.latest.saturating_add(self.delay_elsewhere())
    }

    /// Returns whether the task does not start on an executor for now, as it has rejected a start.
    pub(super) fn avoids(&self, now: Duration, executor: ExecutorKey) -> bool {
        self.executors.contains(&executor) && now < self.latest.saturating_add(self.delay())
    }

    /// Returns the time after the latest rejection before a start on an executor that has rejected one.
    pub(super) fn delay(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.count.saturating_sub(1));
        FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY)
    }

    /// Returns the same for an executor that has rejected none.
    fn delay_elsewhere(&self) -> Duration {
        if self.count > 1 {
            self.delay() / 2
        } else {
            Duration::ZERO
        }
    }
}
