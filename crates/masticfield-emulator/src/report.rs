//! What a day came to.

/// What a day came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Properties that were seen broken, in words.
    pub violations: Vec<String>,
    /// Jobs that callers sent, without those that last.
    pub submitted: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed later.
    pub late: u32,
    /// Those of them completed later than three times their objective: of hardly any use.
    pub too_late: u32,
    /// Jobs that were not taken.
    pub refused: u32,
    /// Jobs that were cancelled or have failed.
    pub cancelled_or_failed: u32,
    /// Those of them that have failed.
    pub failed: u32,
    /// Share of the credit owed that was earned: a late job earns 7%.
    pub worth: f64,
    /// Starts that took an executor above its capacity.
    pub over_capacity: u32,
    /// Tasks that ran twice at the same time, or again after they were done.
    pub duplicate_runs: u32,
    /// Accepted jobs that did not end in time.
    pub unfinished: u32,
    /// Starts on executors.
    pub starts: u32,
    /// Looks at executors.
    pub polls: u32,
    /// Moves of hosts.
    pub moves: u32,
    /// Seconds of hosts in pools that are not standby.
    pub host_seconds: f64,
    /// Steps that the leader took.
    pub events: u64,
}
