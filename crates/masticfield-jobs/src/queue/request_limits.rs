//! Limits of callers' requests.

use serde::{Deserialize, Serialize};

/// Limits of callers' requests, which entries receive from the leading replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request's head, in milliseconds.
    pub header_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}
