//! The configuration that the entry may serve.

use std::sync::Arc;
use std::time::Instant;

use masticfield_core::config::FleetConfig;

/// A configuration and the end of the lease on it.
#[derive(Debug, Clone)]
pub(crate) struct Served {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Until when it may be served.
    pub until: Instant,
}

impl Served {
    /// Nothing may be served.
    pub(crate) fn nothing() -> Self {
        Self {
            config: Arc::default(),
            until: Instant::now(),
        }
    }

    /// Whether the lease holds at `now`.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        self.config.version() > 0 && now < self.until
    }
}
