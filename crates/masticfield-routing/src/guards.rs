//! Guards that tests can remove.

/// A check that a safety property of the router depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A home grants slots only while a majority of the entries votes for it.
    Majority,
    /// A new home waits until the longest grant of its predecessor has ended.
    WaitOut,
    /// A home that lost its majority ends its term and starts a new one.
    Lapse,
    /// An entry does not vote right after its start, as it may have voted before the restart.
    Restart,
    /// A lowered grant counts at its old size until the receiver has applied it.
    LoweredGrant,
    /// The time to live of a grant starts when it is requested, not when it arrives.
    TtlFromRequest,
    /// An extension of a grant is ignored once a later request has been sent in full.
    LateExtension,
    /// A request that may have run is sent again only if it is idempotent.
    Idempotence,
    /// An upstream that leaves gets no new work.
    Leaving,
    /// A request that may have run is never reported as not run.
    Sent,
}

/// The active guards; a test removes one to show that its check detects the defect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    removed: Option<Guard>,
}

impl Guards {
    /// All guards.
    pub const ALL: Self = Self { removed: None };

    /// All guards but one.
    pub const fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    /// Whether the guard is active.
    pub fn has(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}
