//! Metrics of the datagrams between entries.

use prometheus::{IntCounter, IntGauge, Registry};

/// Counters of datagrams to and from peers, and gauges of the membership.
#[derive(Debug, Clone)]
pub(crate) struct PeerMetrics {
    pub(super) sent: IntCounter,
    pub(super) sent_bytes: IntCounter,
    pub(super) received: IntCounter,
    pub(super) received_bytes: IntCounter,
    /// Datagrams that could not be decoded or sent.
    pub(super) refused: IntCounter,
    /// Live peers.
    pub(super) peers: IntGauge,
    /// Upstreams that accept new requests.
    pub(super) upstreams: IntGauge,
}

impl PeerMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            sent: counter("masticfield_peer_sent_total", "Datagrams sent to peers")?,
            sent_bytes: counter(
                "masticfield_peer_sent_bytes_total",
                "Bytes sent to peers, without the headers of IP and UDP",
            )?,
            received: counter(
                "masticfield_peer_received_total",
                "Datagrams received from peers",
            )?,
            received_bytes: counter(
                "masticfield_peer_received_bytes_total",
                "Bytes received from peers, without the headers of IP and UDP",
            )?,
            refused: counter(
                "masticfield_peer_refused_total",
                "Datagrams that are no message or could not be sent",
            )?,
            peers: gauge("masticfield_peers", "Peers that take part")?,
            upstreams: gauge("masticfield_upstreams", "Upstreams that take new work")?,
        })
    }
}
