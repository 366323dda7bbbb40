//! Order of the states of an upstream.

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, UpstreamState};

/// Version of an upstream's state.
///
/// Higher incarnations supersede lower ones, and leaving supersedes serving within an incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamVersion {
    incarnation: Incarnation,
    leaving: bool,
}

impl UpstreamVersion {
    /// The version of a leaving incarnation.
    pub const fn leaving(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            leaving: true,
        }
    }

    /// The incarnation of the upstream.
    pub const fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// Whether the upstream is leaving.
    pub const fn is_leaving(self) -> bool {
        self.leaving
    }
}

impl From<&Announcement> for UpstreamVersion {
    fn from(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.incarnation,
            leaving: announcement.state == UpstreamState::Leaving,
        }
    }
}
