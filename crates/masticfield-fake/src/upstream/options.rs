//! Options of a stand-in for an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Who the upstream is, where it announces itself, and how it behaves.
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
    /// Creates the options of an upstream of `service` that answers at once.
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

    /// Sets the host and its availability zone.
    #[must_use]
    pub fn location(mut self, host: impl Into<Arc<str>>, zone: impl Into<Arc<str>>) -> Self {
        self.host = host.into();
        self.zone = zone.into();
        self
    }

    /// Sets where requests are taken.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the entries that it announces itself to.
    #[must_use]
    pub fn entries(mut self, entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.entries = entries.into_iter().collect();
        self
    }

    /// Sets how many requests run at once.
    #[must_use]
    pub const fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how long a request takes.
    #[must_use]
    pub const fn latency(mut self, latency: Duration) -> Self {
        self.latency = latency;
        self
    }

    /// Sets the time between two announcements.
    #[must_use]
    pub const fn announce_interval(mut self, announce_interval: Duration) -> Self {
        self.announce_interval = announce_interval;
        self
    }

    /// How many requests run at once.
    pub const fn announced_slots(&self) -> u16 {
        self.slots
    }
}
