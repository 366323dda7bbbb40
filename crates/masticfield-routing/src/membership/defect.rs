//! Seeded defects, with which tests prove that they detect a missing guard.

/// A guard of the membership protocol that is left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Defect {
    /// Every guard is in place.
    #[default]
    None,
    /// A leaving upstream is sent to each peer once, without waiting for acknowledgements.
    SendLeavingOnce,
    /// Leaving upstreams are not sent to suspected peers.
    SendLeavingToLiveOnly,
    /// A holder's confirmation counts from its arrival, however late it arrives.
    ConfirmFromArrival,
    /// The last update of an upstream wins, whatever its incarnation.
    LastUpdateWins,
    /// A holder's confirmation never expires.
    ConfirmForever,
}
