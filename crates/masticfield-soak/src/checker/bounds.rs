//! Times within which promises must hold.

/// Times within which promises must hold, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// From the acknowledgement of a configuration until no older one is served.
    pub config_ms: u64,
    /// From the acknowledgement of a cancellation until no task of the job starts.
    pub cancel_ms: u64,
    /// From the acceptance of a job until every entry knows it.
    pub visible_ms: u64,
    /// Time without a fault after which the programs count as undisturbed.
    pub contact_ms: u64,
    /// From the acknowledgement of a cancellation until no task of the job starts, whatever happens.
    pub cancel_always_ms: u64,
    /// Runs of a task that may fail before its job does.
    pub max_attempts: u32,
}

impl Bounds {
    /// Returns the bounds that the users' platform sets, where those that hold only without
    /// disturbance are stretched by a factor for a busy machine.
    pub const fn new(stretch: u64) -> Self {
        Self {
            config_ms: 2_000,
            cancel_ms: 3_000 * stretch,
            visible_ms: 3_000 * stretch,
            contact_ms: 6_000 * stretch,
            cancel_always_ms: 25_000 * stretch,
            max_attempts: 3,
        }
    }
}
