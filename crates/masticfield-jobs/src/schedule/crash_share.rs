//! Share of a queue's starts that crash executors.

use std::time::Duration;

/// Time constant of the averages. An executor is back about 3 s after its crash, which is when the
/// crash is known.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Weighted number of crashes from which on a queue can be at fault. A single crash may have another
/// reason.
const MIN_CRASHES: f64 = 1.5;

/// Weighted number of crashes up to which a queue has not crashed executors recently: one of which
/// two jobs may be the cause, 3.5 s ago.
const RECENT_CRASHES: f64 = 0.25;

/// Share of starts from which on a queue's steps are started apart. In the emulator, a queue of
/// which 5% of the jobs crash executors is served as well beside others as apart.
///
/// Steps start beside others again below a third of this share and of [`MIN_CRASHES`]. With a single
/// threshold, jobs without fault, which start first, brought the share down while the others were
/// still waiting.
const APART_SHARE: f64 = 0.08;

/// Exponentially decaying numbers of a queue's starts, and of the crashes that they may have caused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::schedule::CrashShare;
///
/// let mut share = CrashShare::default();
/// for _ in 0..10 {
///     share.record_start(Duration::ZERO);
/// }
/// assert!(!share.starts_apart(Duration::ZERO));
/// share.record_crash(Duration::ZERO, 1.0);
/// share.record_crash(Duration::ZERO, 1.0);
/// assert!(share.starts_apart(Duration::ZERO));
/// assert!(!share.starts_apart(Duration::from_secs(10)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CrashShare {
    /// Starts of steps.
    starts: f64,
    /// Crashes, each divided among the jobs that may have caused it.
    crashes: f64,
    updated: Duration,
    /// Whether the queue's steps were started apart at that time.
    apart: bool,
}

impl CrashShare {
    /// Records the start of tasks of one step.
    pub fn record_start(&mut self, now: Duration) {
        self.decay(now);
        self.starts += 1.0;
        self.apart = self.starts_apart(now);
    }

    /// Records a crash that a job of the queue may have caused; `weight` is 1 if no other job may
    /// have.
    pub fn record_crash(&mut self, now: Duration, weight: f64) {
        self.decay(now);
        self.crashes += weight;
        self.apart = self.starts_apart(now);
    }

    /// Returns whether a job of the queue is known to have crashed an executor recently.
    pub fn has_crashed(&self, now: Duration) -> bool {
        self.crashes * decay_factor(now.saturating_sub(self.updated)) >= RECENT_CRASHES
    }

    /// Returns the share of starts that crash executors, from 0 to 1.
    pub fn share(&self) -> f64 {
        (self.crashes / self.starts.max(1.0)).min(1.0)
    }

    /// Returns whether the jobs of the queue crash so many executors that each is started where no
    /// other job starts.
    pub fn starts_apart(&self, now: Duration) -> bool {
        let remaining = decay_factor(now.saturating_sub(self.updated));
        let crashes = self.crashes * remaining;
        if self.apart {
            crashes >= MIN_CRASHES / 3.0 && self.share() >= APART_SHARE / 3.0
        } else {
            crashes >= MIN_CRASHES && self.share() >= APART_SHARE
        }
    }

    fn decay(&mut self, now: Duration) {
        let remaining = decay_factor(now.saturating_sub(self.updated));
        self.starts *= remaining;
        self.crashes *= remaining;
        self.updated = now;
    }
}

fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

/// Time for which an executor is in quarantine for a start that it outlives: 200 ms, and what it
/// takes to order the start.
pub(crate) const OUTLIVED: Duration = Duration::from_millis(250);

/// Time for which an executor is lost that crashes in quarantine, as measured.
const CRASHED: Duration = Duration::from_millis(3_500);

/// Returns how long a job waits behind `ahead` others that start on `executors`, one at a time.
///
/// A share of `crash_share` of the starts crash their executor; one that does not occupies it for
/// `held`.
pub fn quarantine_wait(
    ahead: usize,
    executors: usize,
    crash_share: f64,
    held: Duration,
) -> Duration {
    let each = held + CRASHED.mul_f64(crash_share.clamp(0.0, 1.0));
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let executors = u32::try_from(executors.max(1)).unwrap_or(u32::MAX);
    each.saturating_mul(ahead) / executors
}
