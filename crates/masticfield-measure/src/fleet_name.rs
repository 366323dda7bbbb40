//! Sample fleets that experiments run on.

use clap::ValueEnum;
use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;

/// Name of a sample fleet in `examples/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FleetName {
    /// Four availability zones, five services.
    Vitoria,
    /// Three availability zones, five services.
    Vulpescu,
}

impl FleetName {
    /// Release note that declares the fleet.
    ///
    /// # Panics
    ///
    /// Panics if the sample is not a valid release note, which is a bug.
    pub fn release_note(self) -> ReleaseNote {
        let text = match self {
            Self::Vitoria => include_str!("../../../examples/vitoria.toml"),
            Self::Vulpescu => include_str!("../../../examples/vulpescu.toml"),
        };
        ReleaseNote::from_toml(text).expect("the samples are checked by a test")
    }

    /// Configuration that results from applying the release note to an empty fleet.
    ///
    /// # Panics
    ///
    /// Panics if the release note cannot be applied, which is a bug.
    pub fn config(self) -> FleetConfig {
        let note = self.release_note();
        FleetConfig::default()
            .apply(&note)
            .expect("the samples are checked by a test")
    }

    /// One-way network delay between two availability zones, in milliseconds.
    pub const fn zone_delay_ms(self) -> f64 {
        match self {
            Self::Vitoria => 1.5,
            Self::Vulpescu => 0.5,
        }
    }
}
