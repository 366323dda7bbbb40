//! Options of a fake upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identity of a fake upstream, the entries that it announces itself to, and its capacity.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) host: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) listen: SocketAddr,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) slots: u16,
    pub(super) latency: Duration,
    pub(super) announce_interval: Duration,
}

impl UpstreamOptions {
    /// Creates options with 8 slots, no latency, no entries and any free loopback port.
    ///
    /// `id` must be unique among the upstreams of an installation.
    pub fn new(id: impl Into<Arc<str>>, service: impl Into<Arc<str>>) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            host: "host-1".into(),
            zone: "zone-1".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            slots: 8,
            latency: Duration::ZERO,
            announce_interval: Duration::from_secs(1),
        }
    }

    /// Sets the host and the availability zone that are announced.
    #[must_use]
    pub fn location(mut self, host: impl Into<Arc<str>>, zone: impl Into<Arc<str>>) -> Self {
        self.host = host.into();
        self.zone = zone.into();
        self
    }

    /// Sets the address to accept requests on.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the addresses of the entries that the upstream announces itself to.
    #[must_use]
    pub fn entries(mut self, entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.entries = entries.into_iter().collect();
        self
    }

    /// Sets the number of requests that run at the same time.
    #[must_use]
    pub const fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that each request takes to run.
    #[must_use]
    pub const fn latency(mut self, latency: Duration) -> Self {
        self.latency = latency;
        self
    }

    /// Sets the interval at which the upstream announces itself; 1 s by default.
    #[must_use]
    pub const fn announce_interval(mut self, announce_interval: Duration) -> Self {
        self.announce_interval = announce_interval;
        self
    }

    /// Number of requests that run at the same time, as announced to entries.
    pub const fn announced_slots(&self) -> u16 {
        self.slots
    }
}
