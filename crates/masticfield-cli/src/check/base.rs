//! The configuration that a note is compared with.

use std::borrow::Cow;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;

/// The configuration that a release note changes.
#[derive(Debug, Clone, Copy)]
pub enum Base<'a> {
    /// The configuration is known.
    Known(&'a FleetConfig),
    /// The configuration is not known; only what the note itself shows is checked.
    Unknown,
}

impl<'a> Base<'a> {
    /// Version of the configuration, if it is known.
    pub fn version(self) -> Option<u64> {
        match self {
            Self::Known(config) => Some(config.version()),
            Self::Unknown => None,
        }
    }

    /// The configuration if `note` builds on it; a note that builds on 0 has an empty one.
    pub(super) fn under(self, note: &ReleaseNote) -> Option<Cow<'a, FleetConfig>> {
        let config = match self {
            Self::Known(config) => Cow::Borrowed(config),
            Self::Unknown => Cow::Owned(FleetConfig::default()),
        };
        (config.version() == note.builds_on).then_some(config)
    }
}
