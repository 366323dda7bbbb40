//! The order of what is known of an upstream.

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, UpstreamState};

/// Version of an upstream: a later incarnation wins, and within one the leaving state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamVersion {
    incarnation: Incarnation,
    leaving: bool,
}

impl UpstreamVersion {
    /// The version of an incarnation that leaves.
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

    /// Whether the upstream leaves.
    pub const fn is_leaving(self) -> bool {
        self.leaving
    }
}

impl From<&Announcement> for UpstreamVersion {
    fn from(news: &Announcement) -> Self {
        Self {
            incarnation: news.incarnation,
            leaving: news.state == UpstreamState::Leaving,
        }
    }
}
