//! Whether a job is taken in.

use std::time::Duration;

/// What is waiting in a pool and what the pool can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Work of accepted jobs that is not done, in core-seconds.
    pub work: f64,
    /// Cores that jobs of this kind can have.
    pub cores: f64,
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
/// and be later still.
pub fn admit(backlog: Backlog, slack: Duration) -> Admission {
    if backlog.cores <= 0.0 {
        return Admission::Accept;
    }
    let wait = Duration::try_from_secs_f64(backlog.work / backlog.cores).unwrap_or(Duration::MAX);
    if wait <= slack {
        Admission::Accept
    } else {
        Admission::Refuse {
            retry_after: wait.saturating_sub(slack),
        }
    }
}
