//! Bounds of what callers send.

use serde::{Deserialize, Serialize};

/// Bounds of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time that a head may take, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}
