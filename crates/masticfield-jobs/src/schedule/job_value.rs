//! Value of jobs to their callers, and how well jobs of each size are served.

/// Part of the value that every job of a queue has.
const BASE: f64 = 0.3;

/// Part of the value that is in proportion to the work.
const BY_WORK: f64 = 0.7;

/// Maximum value, as a multiple of that of a job with the mean work of its queue.
const MAX_VALUE: f64 = 4.0;

/// Factor on the value of a job by one level of priority.
const BY_PRIORITY: f64 = 0.5;

/// Levels of priority that differ in value.
const MAX_PRIORITY: u32 = 4;

/// Number of jobs over which a queue's history decays.
const MEMORY: f64 = 200.0;

/// Number of jobs from which on the history of a queue is relied on.
const MIN_JOBS: f64 = 30.0;

/// Size classes by work; each is larger than the one before by [`CLASS_RATIO`].
const CLASSES: usize = 48;

/// Ratio of the work of neighbouring size classes.
const CLASS_RATIO: f64 = 1.25;

/// Work of the smallest size class, in core-seconds.
const SMALLEST: f64 = 0.05;

/// Shares of a queue's jobs, from the largest, that are protected: the largest tenth and the fifth
/// below it.
const PROTECTED: [f64; 2] = [0.1, 0.3];

/// Part of the share served of all jobs below which a protected group is served first. Callers need
/// half; the margin covers the delay until a change shows.
const PROTECT_BELOW: f64 = 0.75;

/// Factor on the value of jobs of a protected group that is served too rarely; above the ratio of
/// the largest to the smallest value per core-second of usual jobs.
const PROTECTION: f64 = 8.0;

/// Returns the value of a job, given its work and the mean work of its queue's jobs.
///
/// The value of a job with the mean work and priority 0 is 1.
pub fn value(work: f64, mean_work: f64, priority: u32) -> f64 {
    let ratio = if mean_work > 0.0 {
        work / mean_work
    } else {
        1.0
    };
    let level = i32::try_from(priority.min(MAX_PRIORITY)).unwrap_or_default();
    (BASE + BY_WORK * ratio).min(MAX_VALUE) * BY_PRIORITY.powi(level)
}

/// Work of a queue's recent jobs, and which of them were started while they could be on time.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceHistory {
    /// Jobs offered and served by size class, decaying with each offered job.
    classes: [(f64, f64); CLASSES],
    /// Sum of the work of the offered jobs, decaying alike.
    work: f64,
}

impl Default for ServiceHistory {
    fn default() -> Self {
        Self {
            classes: [(0.0, 0.0); CLASSES],
            work: 0.0,
        }
    }
}

impl ServiceHistory {
    /// Records a new job, whether or not it is accepted.
    pub fn record_offered(&mut self, work: f64) {
        let decay = 1.0 - 1.0 / MEMORY;
        for (offered, served) in &mut self.classes {
            *offered *= decay;
            *served *= decay;
        }
        self.classes[class(work)].0 += 1.0;
        self.work = self.work * decay + work;
    }

    /// Records that a job was started while it could be on time.
    pub fn record_served(&mut self, work: f64) {
        self.classes[class(work)].1 += 1.0;
    }

    /// Returns the mean work of recent jobs, in core-seconds; 0 without any.
    pub fn mean_work(&self) -> f64 {
        let offered = self.offered();
        if offered > 0.0 {
            self.work / offered
        } else {
            0.0
        }
    }

    /// Returns the values of the queue's jobs now.
    pub fn values(&self, priority: u32) -> JobValues {
        let mut protected = [false; CLASSES];
        let offered = self.offered();
        if offered >= MIN_JOBS {
            let served: f64 = self.classes.iter().map(|(_, served)| served).sum();
            let mut from = 0.0;
            for bound in PROTECTED {
                let (from, to) = (
                    std::mem::replace(&mut from, bound) * offered,
                    bound * offered,
                );
                let (mut above, mut group) = (0.0, (0.0, 0.0));
                let mut members = Vec::new();
                for (index, (offered, served)) in self.classes.iter().enumerate().rev() {
                    if above >= from && above < to {
                        group = (group.0 + offered, group.1 + served);
                        members.push(index);
                    }
                    above += offered;
                }
                if group.1 * offered < PROTECT_BELOW * served * group.0 {
                    for index in members {
                        protected[index] = true;
                    }
                }
            }
        }
        JobValues {
            mean_work: self.mean_work(),
            priority,
            protected,
        }
    }

    fn offered(&self) -> f64 {
        self.classes.iter().map(|(offered, _)| offered).sum()
    }
}

/// Values of the jobs of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct JobValues {
    mean_work: f64,
    priority: u32,
    /// Size classes whose jobs are served too rarely.
    protected: [bool; CLASSES],
}

impl JobValues {
    /// Returns the value of a job of `work` core-seconds. Jobs of a protected size have a higher one.
    pub fn of(&self, work: f64) -> f64 {
        let value = value(work, self.mean_work, self.priority);
        if self.protected[class(work)] {
            value * PROTECTION
        } else {
            value
        }
    }
}

/// Returns the size class of a job.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a class within the bounds"
)]
fn class(work: f64) -> usize {
    let class = (work / SMALLEST).max(1.0).ln() / CLASS_RATIO.ln();
    (class as usize).min(CLASSES - 1)
}
