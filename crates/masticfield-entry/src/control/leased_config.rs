//! The configuration under a lease.

use std::sync::Arc;
use std::time::Instant;

use masticfield_core::config::FleetConfig;

/// A configuration and the end of the lease under which it may be served.
#[derive(Debug, Clone)]
pub(crate) struct LeasedConfig {
    /// The configuration; version 0 if none was received.
    pub config: Arc<FleetConfig>,
    /// End of the lease, on the monotonic clock.
    pub expires_at: Instant,
}

impl LeasedConfig {
    /// Returns an empty configuration without a lease.
    pub(crate) fn none() -> Self {
        Self {
            config: Arc::default(),
            expires_at: Instant::now(),
        }
    }

    /// Whether there is a configuration that may be served at `now`.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        self.config.version() > 0 && now < self.expires_at
    }
}
