//! Seeded defects, by which tests show that they can fail.

/// A guard that is left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Defect {
    /// Every guard is in place.
    #[default]
    None,
    /// A leaving upstream is passed on once, without waiting for acknowledgements.
    TellOnce,
    /// A suspected peer is not told of leaving upstreams.
    TellLiveOnly,
    /// The word of a holder counts from its arrival, however late it is.
    TrustFromArrival,
    /// The last word on an upstream wins, whatever its incarnation.
    LastWordWins,
    /// A peer's records are trusted without end.
    TrustForever,
}
