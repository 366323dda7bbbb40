//! The sample fleets.

use clap::ValueEnum;
use masticfield_core::note::ReleaseNote;

/// A sample fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SampleFleet {
    /// Four availability zones, five services
    Vitoria,
    /// Three availability zones, five services
    Vulpescu,
}

impl SampleFleet {
    /// The text of the release note.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Vitoria => include_str!("../../../examples/vitoria.toml"),
            Self::Vulpescu => include_str!("../../../examples/vulpescu.toml"),
        }
    }

    /// The release note.
    ///
    /// # Panics
    ///
    /// Panics if the sample is no release note, which is a bug.
    pub fn note(self) -> ReleaseNote {
        ReleaseNote::from_toml(self.text()).expect("the samples are checked by a test")
    }
}
