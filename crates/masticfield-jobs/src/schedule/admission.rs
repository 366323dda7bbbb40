//! Admission control for jobs.

use std::time::Duration;

use super::pool_size::HOST_ARRIVAL;

/// Work that waits in a pool, and the capacity to process it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Work of accepted jobs that is not done, in core-seconds.
    pub work: f64,
    /// Cores that finite tasks can use now.
    pub cores: f64,
    /// Cores of hosts that are moving to the pool or can be moved there.
    pub incoming: f64,
}

impl Backlog {
    /// Returns the time to process the backlog, or `None` if there is no capacity.
    fn wait(self) -> Option<Duration> {
        let arrival = HOST_ARRIVAL.as_secs_f64();
        let work_left = self.work - self.cores * arrival;
        let wait = if work_left <= 0.0 && self.cores > 0.0 {
            self.work / self.cores
        } else {
            arrival + work_left / (self.cores + self.incoming)
        };
        Duration::try_from_secs_f64(wait).ok()
    }
}

/// Decision on whether to accept a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job can be completed while its result is still useful.
    Accept,
    /// The job would complete too late to be useful.
    Refuse {
        /// Time after which a job of this kind would be accepted.
        retry_after: Duration,
    },
}

/// Refuses a job that could only start when its result is no longer useful.
///
/// `slack` is the time that the job can wait and still be useful. A job that would only be late
/// is accepted: a surge lasts a few seconds, and a refused job would be retried and complete even
/// later. At the start of a surge the pool is small and most of its hosts are still to come, so
/// incoming hosts count as capacity.
pub fn admit(backlog: Backlog, slack: Duration) -> Admission {
    if backlog.cores + backlog.incoming <= 0.0 {
        return Admission::Accept;
    }
    let wait = backlog.wait().unwrap_or(Duration::MAX);
    if wait <= slack {
        Admission::Accept
    } else {
        Admission::Refuse {
            retry_after: wait.saturating_sub(slack),
        }
    }
}
