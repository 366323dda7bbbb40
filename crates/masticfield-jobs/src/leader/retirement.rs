//! Why an executor's incarnation is removed.

/// Why an executor's incarnation is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Retirement {
    /// A later incarnation of the executor has announced itself or reported its runs.
    Reborn,
    /// Another incarnation answers at the executor's address.
    Replaced,
    /// The executor has reported that it is about to end.
    Left,
    /// The executor has not answered for a long time.
    Silent,
    /// The platform has ended the executor to move or maintain its host.
    HostTaken,
}

impl Retirement {
    /// Returns the text used in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Reborn => "reborn",
            Self::Replaced => "another life answers",
            Self::Left => "left",
            Self::Silent => "silent",
            Self::HostTaken => "its host was taken",
        }
    }

    /// Returns whether an executor that was not expected to end has crashed.
    pub(super) const fn is_crash(self) -> bool {
        matches!(self, Self::Reborn | Self::Replaced | Self::Silent)
    }
}
