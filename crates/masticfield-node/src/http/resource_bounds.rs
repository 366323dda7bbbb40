//! Bounds of the HTTP listeners, derived from the memory and descriptors of a process.

/// Descriptors that are not for connections.
const RESERVED_FDS: usize = 200;

/// Memory of a connection, in bytes: its read buffer and its task.
const CONNECTION_BYTES: usize = 20 * 1024;

/// Bounds of the HTTP listeners of one process.
///
/// Request bodies may hold three sixteenths of the memory, and connections a quarter. The rest is for
/// the state of the process.
///
/// # Examples
///
/// ```
/// use masticfield_node::http::ResourceBounds;
///
/// let bounds = ResourceBounds::new(None, None);
/// assert_eq!(bounds.body_bytes(), 48 << 20);
/// assert_eq!(bounds.small_body_bytes(), 6 << 20);
/// assert_eq!(bounds.connections(), 2_922);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBounds {
    body_bytes: usize,
    connections: usize,
}

impl ResourceBounds {
    /// Default memory of a process, in bytes.
    pub const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

    /// Default number of descriptors of a process.
    pub const DEFAULT_MAX_FDS: u64 = 4_096;

    /// Derives the bounds from the memory in bytes and the maximum number of descriptors, or from
    /// their defaults.
    ///
    /// Connections use at most three quarters of the descriptors that are not reserved. The rest is
    /// for connections that the process opens itself.
    pub fn new(memory_bytes: Option<u64>, max_fds: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(Self::DEFAULT_MEMORY_BYTES);
        let max_fds = max_fds.unwrap_or(Self::DEFAULT_MAX_FDS);
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let max_fds = usize::try_from(max_fds).unwrap_or(usize::MAX);
        let by_fds = max_fds.saturating_sub(RESERVED_FDS) / 4 * 3;
        let by_memory = memory_bytes / 4 / CONNECTION_BYTES;
        Self {
            body_bytes: memory_bytes / 16 * 3,
            connections: by_fds.min(by_memory).max(1),
        }
    }

    /// Returns the maximum number of bytes that all request bodies hold.
    pub const fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the part of [`body_bytes`](Self::body_bytes) that is reserved for small bodies.
    pub const fn small_body_bytes(&self) -> usize {
        self.body_bytes / 8
    }

    /// Returns the maximum number of connections of all listeners.
    pub const fn connections(&self) -> usize {
        self.connections
    }
}

impl Default for ResourceBounds {
    fn default() -> Self {
        Self::new(None, None)
    }
}
