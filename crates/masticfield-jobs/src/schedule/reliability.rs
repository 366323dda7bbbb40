//! How an executor has treated the tasks that it was given.

use std::time::Duration;

use crate::job::JobId;

/// Weight of the last end in the share of failures: two failures in a row are enough to suspend
/// an executor, and one among many ends is not.
const WEIGHT: f64 = 0.25;

/// Share of failures from which on an executor is suspended.
const SUSPECT_SHARE: f64 = 0.4;

/// Time for which a suspended executor gets no task; then one is tried. Each try costs a task
/// time, or an attempt, so that the time doubles with each one that goes wrong.
const SUSPENDED_FOR: Duration = Duration::from_secs(2);

/// Longest time for which an executor is suspended at once.
const LONGEST_SUSPENSION: Duration = Duration::from_secs(8);

/// What may be started on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReliabilityStatus {
    /// Any task.
    Good,
    /// One task at a time, to find out.
    Probation,
    /// Nothing.
    Suspended,
}

/// How an executor has treated the tasks that it was given; a circuit breaker.
///
/// An executor that fails at once what it starts always has room, and would draw in one job after
/// the other until their attempts are used up.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::job::JobId;
/// use masticfield_jobs::schedule::{Reliability, ReliabilityStatus};
///
/// let mut reliability = Reliability::default();
/// reliability.record_failure(Duration::ZERO, JobId::new(1));
/// assert_eq!(reliability.status(Duration::ZERO), ReliabilityStatus::Good);
/// reliability.record_failure(Duration::ZERO, JobId::new(2));
/// assert_eq!(reliability.status(Duration::ZERO), ReliabilityStatus::Suspended);
/// assert_eq!(reliability.status(Duration::from_secs(3)), ReliabilityStatus::Probation);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reliability {
    /// Share of ends that were failures, the last ones counting most.
    failures: f64,
    /// Jobs whose failures are counted since a task was done; each counts once, as it may fail
    /// with all its tasks.
    counted: Vec<JobId>,
    /// When a suspension ends, and how long it lasts.
    suspended: Option<(Duration, Duration)>,
}

impl Reliability {
    /// Notes that a task was done.
    pub fn record_success(&mut self, now: Duration) {
        if self.status(now) == ReliabilityStatus::Suspended {
            // What began before may still end well.
            return;
        }
        self.failures *= 1.0 - WEIGHT;
        self.counted.clear();
        self.suspended = None;
    }

    /// Notes that a task of `job` has failed; says whether the executor is suspended for it.
    pub fn record_failure(&mut self, now: Duration, job: JobId) -> bool {
        let trust = self.status(now);
        let counted = self.counted.contains(&job);
        if trust == ReliabilityStatus::Suspended || (trust == ReliabilityStatus::Good && counted) {
            return false;
        }
        if !counted {
            self.counted.push(job);
        }
        self.failures += (1.0 - self.failures) * WEIGHT;
        self.judge(now)
    }

    /// Takes the failure of a job back that has failed elsewhere too: the job is at fault.
    pub fn retract_failure(&mut self, job: JobId) {
        let Some(index) = self.counted.iter().position(|counted| *counted == job) else {
            return;
        };
        self.counted.swap_remove(index);
        self.failures = ((self.failures - WEIGHT) / (1.0 - WEIGHT)).max(0.0);
        if self.failures < SUSPECT_SHARE {
            self.suspended = None;
        }
    }

    /// Notes that work makes no headway there; says whether the executor is suspended for it.
    pub fn record_stall(&mut self, now: Duration) -> bool {
        if self.status(now) == ReliabilityStatus::Suspended {
            return false;
        }
        self.failures = self.failures.max(SUSPECT_SHARE);
        self.judge(now)
    }

    /// What may be started there.
    pub fn status(&self, now: Duration) -> ReliabilityStatus {
        match self.suspended {
            None => ReliabilityStatus::Good,
            Some((until, _)) if now < until => ReliabilityStatus::Suspended,
            Some(_) => ReliabilityStatus::Probation,
        }
    }

    /// Share of ends that were failures, the last ones counting most.
    pub const fn failure_share(&self) -> f64 {
        self.failures
    }

    fn judge(&mut self, now: Duration) -> bool {
        let suspect = self.failures >= SUSPECT_SHARE;
        if suspect {
            let before = self
                .suspended
                .map(|(_, time)| (time * 2).min(LONGEST_SUSPENSION));
            let time = before.unwrap_or(SUSPENDED_FOR);
            self.suspended = Some((now + time, time));
        }
        suspect
    }
}
