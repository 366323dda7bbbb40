//! Sample fleets of the demo.

use clap::ValueEnum;
use masticfield_core::note::ReleaseNote;

/// A sample fleet, defined by a release note in `examples/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SampleFleet {
    /// Four availability zones, five services
    Vitoria,
    /// Three availability zones, five services
    Vulpescu,
}

impl SampleFleet {
    /// The release note as TOML.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Vitoria => include_str!("../../../examples/vitoria.toml"),
            Self::Vulpescu => include_str!("../../../examples/vulpescu.toml"),
        }
    }

    /// The parsed release note.
    ///
    /// # Panics
    ///
    /// Panics if the note is invalid, which is a bug.
    pub fn note(self) -> ReleaseNote {
        ReleaseNote::from_toml(self.text()).expect("the notes in examples/ are valid")
    }
}
