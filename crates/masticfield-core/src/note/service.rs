//! Declaration of a service and its promise.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service that callers ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service; the first segment of the path that callers ask.
    pub name: Arc<str>,
    /// Pool whose hosts run the executors.
    pub pool: Arc<str>,
    /// Executors that the service needs.
    pub executors: u32,
    /// Requests that an executor runs at once.
    #[serde(default = "ServiceSpec::default_slots")]
    pub slots: u16,
    /// Connections that an executor accepts.
    #[serde(default = "ServiceSpec::default_connections")]
    pub connections: u16,
    /// Time within which a caller needs the answer, if the request names none.
    #[serde(with = "humantime_serde", default = "ServiceSpec::default_deadline")]
    pub deadline: Duration,
    /// Largest body of a request or an answer, in bytes.
    #[serde(default = "ServiceSpec::default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// What has been promised to the service's users.
    #[serde(default)]
    pub promise: Promise,
}

/// The availability promised for a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Share of the window in which the service has the executors that it needs.
    pub availability: f64,
    /// Window over which the share is reckoned.
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

    /// Requests that all executors of the service run at once.
    pub const fn capacity(&self) -> u32 {
        self.executors * self.slots as u32
    }
}

impl Promise {
    /// Time in the window for which the service may be short of executors.
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
