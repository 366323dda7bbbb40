//! Availability of long-running steps.

use std::time::Duration;

/// Maximum age of the last report that shows a task at work.
///
/// The platform counts a task as unavailable 5.5 s after it was last at work (`noticeMs`), so that
/// an executor that has stopped answering is noticed before. An order takes up to two of these
/// seconds to be committed and carried out.
const MAX_REPORT_AGE: Duration = Duration::from_millis(3_500);

/// Returns whether one more task of a long-running step may be interrupted.
///
/// `last_served` has, for each other task of the step, the time of the latest report if that report
/// shows the task at work. `None` stands for every other task: one that has crashed, whose executor
/// does not answer, whose start is not confirmed, or that is being stopped. `may_miss` is the number
/// of tasks that may be unavailable; 0 counts as 1.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::schedule::may_interrupt;
///
/// let now = Duration::from_secs(20);
/// let recent = Some(Duration::from_secs(19));
/// assert!(may_interrupt(now, [recent, recent].into_iter(), 1));
/// assert!(!may_interrupt(now, [recent, None].into_iter(), 1));
/// ```
pub fn may_interrupt(
    now: Duration,
    last_served: impl Iterator<Item = Option<Duration>>,
    may_miss: u32,
) -> bool {
    let unavailable =
        last_served.filter(|served| served.is_none_or(|served| now > served + MAX_REPORT_AGE));
    let unavailable = u32::try_from(unavailable.count()).unwrap_or(u32::MAX);
    unavailable < may_miss.max(1)
}
