//! Seeded defects, with which tests prove that they detect a missing guard.

/// A guard of [`AtMostOnceRequest`](super::AtMostOnceRequest) that is left out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum AtMostOnceDefect {
    /// Every guard is in place.
    #[default]
    None,
    /// A key held by another dispatch counts as granted.
    RunWhenHeld,
    /// A verdict that arrives after the request was given up still dispatches it.
    RunAfterGivingUp,
    /// A request whose end is unknown is reported as not run, which frees its key.
    FreeWhenUnknown,
    /// A request that is given up before its verdict is reported as having run.
    GivingUpReportsRan,
}
