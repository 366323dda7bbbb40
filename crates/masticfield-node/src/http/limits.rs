//! Limits of HTTP servers.

use std::time::Duration;

/// Limits of an HTTP server, which keep one client from blocking the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    linger: Duration,
    drain_timeout: Duration,
    header_timeout: Duration,
    body_timeout: Duration,
    write_timeout: Duration,
    max_connections: usize,
    connection_percent: usize,
    receive_buffer: u32,
    max_header_bytes: usize,
    max_headers: usize,
}

impl HttpLimits {
    /// Creates the default limits.
    pub const fn new() -> Self {
        Self {
            linger: Duration::ZERO,
            drain_timeout: Duration::from_secs(20),
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            max_connections: 4_096,
            connection_percent: 50,
            receive_buffer: 64 * 1024,
            max_header_bytes: 16 * 1024,
            max_headers: 100,
        }
    }

    /// Sets the time for which connections are still accepted during shutdown, so that a load
    /// balancer notices the shutdown before connections are refused.
    #[must_use]
    pub const fn with_linger(mut self, time: Duration) -> Self {
        self.linger = time;
        self
    }

    /// Sets the longest wait for requests in flight during shutdown.
    #[must_use]
    pub const fn with_drain_timeout(mut self, timeout: Duration) -> Self {
        self.drain_timeout = timeout;
        self
    }

    /// Sets the time within which the head of a request must arrive.
    #[must_use]
    pub const fn with_header_timeout(mut self, timeout: Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets the time within which the body of a request must arrive.
    #[must_use]
    pub const fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the maximum number of concurrent connections.
    #[must_use]
    pub const fn with_max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Sets the percentage of the connections of the process that the server may have, which also
    /// limits the number of concurrent connections if [`Listeners`](super::Listeners) binds it.
    #[must_use]
    pub const fn with_connection_percent(mut self, percent: usize) -> Self {
        self.connection_percent = percent;
        self
    }

    /// Sets the size of the receive buffer of a connection, in bytes. What a client sends while its
    /// request is being handled remains there.
    #[must_use]
    pub const fn with_receive_buffer(mut self, bytes: u32) -> Self {
        self.receive_buffer = bytes;
        self
    }

    /// Sets the maximum size of the head of a request in bytes, which must be at least 8,192.
    #[must_use]
    pub const fn with_max_header_bytes(mut self, bytes: usize) -> Self {
        self.max_header_bytes = bytes;
        self
    }

    /// Returns the time for which connections are still accepted during shutdown.
    pub const fn linger(&self) -> Duration {
        self.linger
    }

    /// Returns the longest wait for requests in flight during shutdown.
    pub const fn drain_timeout(&self) -> Duration {
        self.drain_timeout
    }

    /// Returns the time within which the head of a request must arrive.
    pub const fn header_timeout(&self) -> Duration {
        self.header_timeout
    }

    /// Returns the time within which the body of a request must arrive.
    pub const fn body_timeout(&self) -> Duration {
        self.body_timeout
    }

    /// Returns the time for which a peer may take no bytes of a response.
    pub const fn write_timeout(&self) -> Duration {
        self.write_timeout
    }

    /// Returns the maximum number of concurrent connections.
    pub const fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the percentage of the connections of the process that the server may have.
    pub const fn connection_percent(&self) -> usize {
        self.connection_percent
    }

    /// Returns the size of the receive buffer of a connection, in bytes.
    pub const fn receive_buffer(&self) -> u32 {
        self.receive_buffer
    }

    /// Returns the maximum size of the head of a request, in bytes.
    pub const fn max_header_bytes(&self) -> usize {
        self.max_header_bytes
    }

    /// Returns the maximum number of headers of a request.
    pub const fn max_headers(&self) -> usize {
        self.max_headers
    }
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self::new()
    }
}
