//! The rules that keep the state safe, and their removal in checks.

use serde::{Deserialize, Serialize};

/// A rule that a check can remove to show that it notices the removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// An action names the generation of the host's ownership.
    Generation,
    /// A host is released only once no lease is left on it.
    Release,
    /// A resumed host takes a new generation, so that late words of an earlier drain are stale.
    ResumeGeneration,
    /// The end of leases is accepted only from the leader of the current term.
    LeaderTerm,
    /// The first note under a number stands.
    NoteOnce,
    /// The first verdict on a key stands; a key is free only after a proof that nothing ran.
    ClaimOnce,
    /// The first proven end of a claimed request stands.
    FirstEnd,
    /// Dispatches of an earlier incarnation are told from those of the next.
    Fence,
    /// Keys older than the claims that are kept are refused.
    ClaimAge,
    /// A new leader waits until every lease of earlier leaders has run out.
    LeaderWait,
    /// Leases are granted only under the leadership lease.
    LeadershipLease,
    /// The end of a lease is counted with the clock margin.
    ClockMargin,
    /// A lease counts from when its renewal was sent.
    LeaseFromRenewal,
    /// The version of an entry never falls.
    VersionRises,
    /// An entry without a lease does not serve.
    LeaseNeeded,
}

/// The rules that hold: all of them, except in checks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    removed: Option<Guard>,
}

impl Guards {
    /// Every rule holds.
    pub const fn all() -> Self {
        Self { removed: None }
    }

    /// Every rule but one holds. For checks only.
    pub const fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    /// Whether the rule holds.
    pub fn holds(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}
