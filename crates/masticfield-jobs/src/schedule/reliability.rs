//! Reliability of executors: a circuit breaker against those that fail or stall tasks.

use std::time::Duration;

use crate::job::JobId;

/// Weight of the last end in the failure share: two failures in a row suspend an executor, one
/// among many ends does not.
const WEIGHT: f64 = 0.25;

/// Failure share from which on an executor is suspended.
const SUSPENSION_THRESHOLD: f64 = 0.4;

/// Length of the first suspension.
///
/// After a suspension the executor is on probation with one task at a time. A failure on probation
/// costs that task time or an attempt, so each one doubles the next suspension.
const FIRST_SUSPENSION: Duration = Duration::from_secs(2);

/// Maximum length of a suspension.
const MAX_SUSPENSION: Duration = Duration::from_secs(8);

/// How many tasks may be started on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReliabilityStatus {
    /// No limit.
    Good,
    /// One task at a time, until one succeeds.
    Probation,
    /// None until the suspension ends.
    Suspended,
}

/// Recent successes and failures of the tasks on an executor; a circuit breaker.
///
/// An executor that fails tasks as soon as they start always has free capacity, and would attract
/// one job after another until their attempts are used up.
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
    /// Share of ends that were failures, weighted towards the latest.
    failures: f64,
    /// Jobs with a counted failure since the last success. Each counts once, as all tasks of a
    /// faulty job may fail.
    counted: Vec<JobId>,
    /// End and length of the latest suspension, until a task succeeds.
    suspended: Option<(Duration, Duration)>,
}

impl Reliability {
    /// Records that a task has succeeded.
    pub fn record_success(&mut self, now: Duration) {
        if self.status(now) == ReliabilityStatus::Suspended {
            // A run that started before the suspension may still succeed.
            return;
        }
        self.failures *= 1.0 - WEIGHT;
        self.counted.clear();
        self.suspended = None;
    }

    /// Records that a task of `job` has failed; returns whether this suspends the executor.
    pub fn record_failure(&mut self, now: Duration, job: JobId) -> bool {
        let status = self.status(now);
        let counted = self.counted.contains(&job);
        if status == ReliabilityStatus::Suspended || (status == ReliabilityStatus::Good && counted)
        {
            return false;
        }
        if !counted {
            self.counted.push(job);
        }
        self.failures += (1.0 - self.failures) * WEIGHT;
        self.suspend_if_unreliable(now)
    }

    /// Retracts the failure of a job that has also failed on another executor: the job is at
    /// fault.
    pub fn retract_failure(&mut self, job: JobId) {
        let Some(index) = self.counted.iter().position(|counted| *counted == job) else {
            return;
        };
        self.counted.swap_remove(index);
        self.failures = ((self.failures - WEIGHT) / (1.0 - WEIGHT)).max(0.0);
        if self.failures < SUSPENSION_THRESHOLD {
            self.suspended = None;
        }
    }

    /// Records that runs make too little progress; returns whether this suspends the executor.
    pub fn record_stall(&mut self, now: Duration) -> bool {
        if self.status(now) == ReliabilityStatus::Suspended {
            return false;
        }
        self.failures = self.failures.max(SUSPENSION_THRESHOLD);
        self.suspend_if_unreliable(now)
    }

    /// Returns how many tasks may be started now.
    pub fn status(&self, now: Duration) -> ReliabilityStatus {
        match self.suspended {
            None => ReliabilityStatus::Good,
            Some((until, _)) if now < until => ReliabilityStatus::Suspended,
            Some(_) => ReliabilityStatus::Probation,
        }
    }

    /// Returns the share of ends that were failures, weighted towards the latest; from 0 to 1.
    pub const fn failure_share(&self) -> f64 {
        self.failures
    }

    fn suspend_if_unreliable(&mut self, now: Duration) -> bool {
        let unreliable = self.failures >= SUSPENSION_THRESHOLD;
        if unreliable {
            let doubled = self
                .suspended
                .map(|(_, length)| (length * 2).min(MAX_SUSPENSION));
            let length = doubled.unwrap_or(FIRST_SUSPENSION);
            self.suspended = Some((now + length, length));
        }
        unreliable
    }
}
