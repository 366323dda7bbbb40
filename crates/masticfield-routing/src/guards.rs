//! The guards that keep the properties of the router.

/// A check that a property rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A home grants only while a majority follows it.
    Majority,
    /// A new home waits out the longest grant of the old one.
    WaitOut,
    /// A home whose majority has lapsed takes office anew.
    Lapse,
    /// An entry that started a moment ago gives no vote, as it may have given one before.
    Restart,
    /// A lowered grant counts in full until the receiver has taken it over.
    TakenOver,
    /// A grant lasts from the sending of the wish, not from its receipt.
    TtlFromWish,
    /// A request that may have run is sent again only if it is idempotent.
    Idempotence,
    /// An upstream that leaves gets no new work.
    Leaving,
    /// A request that was sent is never said not to have run.
    Sent,
}

/// The guards in place; tests remove one to see a check fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    removed: Option<Guard>,
}

impl Guards {
    /// All guards in place.
    pub const ALL: Self = Self { removed: None };

    /// All guards but one.
    pub const fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    /// Whether the guard is in place.
    pub fn has(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}
