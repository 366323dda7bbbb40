//! Whether a job is taken in.

use std::time::Duration;

use super::pool_size::HOST_COMES;

/// What is waiting in a pool and what the pool can do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backlog {
    /// Work of accepted jobs that is not done, in core-seconds.
    pub work: f64,
    /// Cores that jobs of this kind can have.
    pub cores: f64,
    /// Cores of hosts that can come to the pool.
    pub incoming: f64,
}

impl Backlog {
    /// Time until the work is done, or none if nothing can do it.
    fn wait(self) -> Option<Duration> {
        let comes = HOST_COMES.as_secs_f64();
        let left = self.work - self.cores * comes;
        let wait = if left <= 0.0 && self.cores > 0.0 {
            self.work / self.cores
        } else {
            comes + left / (self.cores + self.incoming)
        };
        Duration::try_from_secs_f64(wait).ok()
    }
}

/// Whether a job is taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can be done while it is of use.
    Accept,
    /// It cannot; a job handed in after this time can.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Refuses a job that could only start when it is already too late to be of use.
///
/// `slack` is the time that the job can wait and still be of use. A surge is over after some
/// seconds, so a job that is only late is better taken than sent away: it would come back later,
/// and be later still. At the start of a surge the pool is small, and most of its hosts are yet to
/// come.
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
