//! Steps of the ownership of a host.

use std::sync::Arc;

use masticfield_core::fleet::Generation;

/// A step in the ownership of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HostStep {
    /// A pool owns a released host at the next generation.
    Own {
        /// Name of the new owner.
        pool: Arc<str>,
        /// The new generation.
        generation: Generation,
    },
    /// The host stops accepting new work.
    Drain {
        /// The generation that drains.
        generation: Generation,
    },
    /// The host has reported that it holds no lease of the generation.
    HostReport {
        /// The generation that has drained.
        generation: Generation,
    },
    /// The leader has waited until every lease of the generation has expired.
    LeasesEnded {
        /// The generation whose leases have expired.
        generation: Generation,
    },
    /// The drained host leaves its pool.
    Release {
        /// The generation that ends.
        generation: Generation,
    },
    /// The draining host returns to service in its pool, at the next generation.
    Resume {
        /// The generation that drained.
        generation: Generation,
    },
    /// A reboot of the drained host is ordered.
    Reboot {
        /// The generation that has drained.
        generation: Generation,
        /// The maintenance programme that the reboot is for, if any.
        programme: Option<Arc<str>>,
    },
}

impl HostStep {
    /// The generation that the step names: the new one for [`HostStep::Own`], else the current one.
    pub const fn generation(&self) -> Generation {
        match self {
            Self::Own { generation, .. }
            | Self::Drain { generation }
            | Self::HostReport { generation }
            | Self::LeasesEnded { generation }
            | Self::Release { generation }
            | Self::Resume { generation }
            | Self::Reboot { generation, .. } => *generation,
        }
    }
}
