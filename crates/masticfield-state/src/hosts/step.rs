//! The steps of a host's ownership.

use std::sync::Arc;

use masticfield_core::fleet::Generation;
/// One step of the ownership of a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum HostStep {
    /// A pool takes a released host at the next generation.
    Own {
        /// The pool.
        pool: Arc<str>,
        /// The new generation.
        generation: Generation,
    },
    /// The host takes nothing new.
    Drain {
        /// The generation that drains.
        generation: Generation,
    },
    /// The host said that no lease of the generation is left on it.
    HostReport {
        /// The generation.
        generation: Generation,
    },
    /// The leader has waited out every lease of the generation.
    LeasesEnded {
        /// The generation.
        generation: Generation,
    },
    /// The host leaves its pool.
    Release {
        /// The generation that ends.
        generation: Generation,
    },
    /// The host goes back into service in its pool, at the next generation.
    Resume {
        /// The generation that drained.
        generation: Generation,
    },
    /// The drained host is rebooted.
    Reboot {
        /// The generation that owns it.
        generation: Generation,
        /// The maintenance programme that it is for.
        programme: Option<Arc<str>>,
    },
}

impl HostStep {
    /// The generation that the step names.
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
