//! Rate at which submitted jobs bring work.

use std::time::Duration;

/// Time constant of the current rate; short compared with the seconds that a surge lasts.
const SHORT: Duration = Duration::from_millis(500);

/// Time constant of the earlier rate that the current one is compared with.
const LONG: Duration = Duration::from_millis(1_300);

/// Forecast horizon: a host that is requested now accepts tasks after this time.
const HORIZON: Duration = Duration::from_millis(1_500);

/// Weighted number of jobs from which on the rate has full confidence. A few jobs do not establish
/// a rate.
const CONFIDENT_JOBS: f64 = 8.0;

/// Maximum ratio of the forecast rate to the current one.
const MAX_GROWTH: f64 = 2.0;

/// Number of jobs over which the mean work of a job is taken.
const MEAN_OVER_JOBS: f64 = 60.0;

/// Exponentially decaying numbers of submitted jobs, and the mean work of a job.
///
/// The work of jobs varies much more than their number. A rate that sums up the work of the last
/// half second follows single large jobs, and requests hosts that none of the next jobs needs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OfferedLoad {
    /// Number of jobs, decaying over [`SHORT`].
    short: f64,
    /// Number of jobs, decaying over [`LONG`].
    long: f64,
    /// Number and work of jobs, decaying with each job over [`MEAN_OVER_JOBS`].
    sample: (f64, f64),
    /// Time of the last job.
    updated: Duration,
}

impl OfferedLoad {
    /// Records a submitted job with `work` core-seconds.
    pub fn add(&mut self, now: Duration, work: f64) {
        let elapsed = now.saturating_sub(self.updated);
        self.short = self.short * decay(elapsed, SHORT) + 1.0;
        self.long = self.long * decay(elapsed, LONG) + 1.0;
        let keep = 1.0 - 1.0 / MEAN_OVER_JOBS;
        let (jobs, sum) = self.sample;
        self.sample = (jobs * keep + 1.0, sum * keep + work);
        self.updated = now;
    }

    /// Returns the rate to expect when a host that is requested now becomes usable, in cores.
    ///
    /// A rising rate is extrapolated; a falling one is assumed to stay as it is now. The rate is reduced
    /// while few jobs support it.
    pub fn forecast(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated);
        let jobs = self.short * decay(elapsed, SHORT);
        let short = jobs / SHORT.as_secs_f64();
        let long = self.long * decay(elapsed, LONG) / LONG.as_secs_f64();
        let confidence = (jobs / CONFIDENT_JOBS).min(1.0);
        let slope = (short - long).max(0.0) / LONG.saturating_sub(SHORT).as_secs_f64();
        let ahead = (HORIZON + SHORT).as_secs_f64();
        let rate = (short + slope * ahead).min(short * MAX_GROWTH) * confidence;
        rate * self.mean_work()
    }

    /// Returns the mean work of a job, in core-seconds; 0 without any.
    fn mean_work(&self) -> f64 {
        let (jobs, sum) = self.sample;
        if jobs > 0.0 { sum / jobs } else { 0.0 }
    }
}

fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
