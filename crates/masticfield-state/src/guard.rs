//! Safety rules, which tests can disable one by one.

use serde::{Deserialize, Serialize};

/// A safety rule that a test can disable to show that it notices the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// A change of a host is accepted only if it names the current generation.
    Generation,
    /// A host is released only after a proof that it holds no lease.
    Release,
    /// A resumed host gets a new generation, so that late messages about its drain are stale.
    ResumeGeneration,
    /// The expiry of leases is accepted only from the leader of the current term.
    LeaderTerm,
    /// The first note accepted under a number is final.
    NoteOnce,
    /// The first claim of a key is final until a proof that the request did not run.
    ClaimOnce,
    /// The first reported end of a claimed request is final.
    FirstEnd,
    /// Dispatches of an earlier incarnation of an entry are fenced.
    Fence,
    /// Keys older than the retention of claims are refused.
    ClaimAge,
    /// A new leader waits until every lease of earlier leaders has expired.
    LeaderWait,
    /// Leases are granted only under the leadership lease.
    LeadershipLease,
    /// The leader adds the clock margin to the duration of a lease.
    ClockMargin,
    /// An entry counts a lease from the time at which it sent the renewal.
    LeaseFromRenewal,
    /// The version that an entry serves never decreases.
    VersionRises,
    /// An entry serves only while it holds a lease.
    LeaseNeeded,
}

/// The set of enabled safety rules: all of them, except in tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    disabled: Option<Guard>,
}

impl Guards {
    /// Enables every rule.
    pub const fn all() -> Self {
        Self { disabled: None }
    }

    /// Disables a single rule; for tests only.
    pub const fn without(guard: Guard) -> Self {
        Self {
            disabled: Some(guard),
        }
    }

    /// Whether a rule is enabled.
    pub fn holds(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}
