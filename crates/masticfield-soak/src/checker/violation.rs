//! Broken promises.

use std::fmt;

/// A promise that the programs must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A job that was accepted is known until its status need no longer be kept.
    AcceptedJobIsKnown,
    /// A job that was accepted ends.
    AcceptedJobEnds,
    /// The status that callers are shown is true.
    StatusIsTrue,
    /// A task does not run twice at the same time.
    OneRunAtATime,
    /// A task that is done does not start again.
    DoneOnce,
    /// A task that has failed as often as allowed does not start again.
    AttemptsAreBounded,
    /// A task starts after the steps that its step depends on.
    StepsInOrder,
    /// Starts do not take an executor above its capacity.
    CapacityIsKept,
    /// A task starts on an executor of its queue's pool.
    PoolIsKept,
    /// A job that was refused does not start.
    RefusedNeverStarts,
    /// Only what a caller sent is started.
    OnlySentJobsStart,
    /// A cancelled job starts no more tasks.
    CancelledJobStops,
    /// A configuration that was acknowledged is in force and never replaced by an older one.
    ConfigNeverGoesBack,
    /// A configuration is read as it was sent.
    ConfigIsIntact,
    /// A valid configuration is not refused, an invalid one not acknowledged.
    ConfigIsJudgedRight,
    /// A queue is there for callers exactly if the configuration in force has it.
    QueuesFollowConfig,
    /// A program ends only when it is told to.
    ProgramsKeepRunning,
    /// The programs recover once faults are over.
    Recovers,
}

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Time since the start of the soak, in milliseconds.
    pub at_ms: u64,
    /// The promise.
    pub promise: Promise,
    /// What was observed.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at_ms,
            promise,
            seen,
        } = self;
        write!(f, "at {at_ms} ms: {promise:?}: {seen}")
    }
}
