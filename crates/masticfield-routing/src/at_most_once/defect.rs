//! Seeded defects, by which tests show that they can fail.

/// A guard that is left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum AtMostOnceDefect {
    /// Every guard is in place.
    #[default]
    None,
    /// A key that another dispatch holds is taken for granted.
    RunWhenHeld,
    /// A verdict that comes after the request was given up still lets it run.
    RunAfterGivingUp,
    /// A request of unknown end is reported as not run, which frees its key.
    FreeWhenUnknown,
    /// A request that was given up before its verdict is told to have run.
    ClaimMeansRan,
}
