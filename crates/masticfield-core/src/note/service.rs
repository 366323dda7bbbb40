//! Declaration of a service and its promised availability.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service that callers send requests to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, which is the first segment of the path of its requests.
    pub name: Arc<str>,
    /// Name of the pool whose hosts run the executors.
    pub pool: Arc<str>,
    /// Number of executors that the service needs.
    pub executors: u32,
    /// Number of requests that an executor runs concurrently.
    #[serde(default = "ServiceSpec::default_slots")]
    pub slots: u16,
    /// Number of connections that an executor accepts.
    #[serde(default = "ServiceSpec::default_connections")]
    pub connections: u16,
    /// Time within which a request must be answered, unless the request names a deadline.
    #[serde(with = "humantime_serde", default = "ServiceSpec::default_deadline")]
    pub deadline: Duration,
    /// Maximum size of the body of a request or response, in bytes.
    #[serde(default = "ServiceSpec::default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Availability promised to the service's users.
    #[serde(default)]
    pub promise: Promise,
}

/// The availability promised for a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Fraction of the window, from 0 to 1, during which the service has the executors it needs.
    pub availability: f64,
    /// Window over which the availability is measured.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl ServiceSpec {
    const fn default_slots() -> u16 {
        8
    }

    const fn default_connections() -> u16 {
        64
    }

    const fn default_deadline() -> Duration {
        Duration::from_secs(5)
    }

    const fn default_max_body_bytes() -> u64 {
        1024 * 1024
    }

    /// Returns the number of requests that all executors of the service run concurrently.
    pub const fn capacity(&self) -> u32 {
        self.executors * self.slots as u32
    }
}

impl Promise {
    /// Returns the error budget: the time per window for which the service may lack executors.
    pub fn budget(&self) -> Duration {
        self.window
            .mul_f64((1.0 - self.availability).clamp(0.0, 1.0))
    }
}

impl Default for Promise {
    fn default() -> Self {
        Self {
            availability: 0.999,
            window: Duration::from_hours(30 * 24),
        }
    }
}
