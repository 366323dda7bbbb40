//! Metrics of the connections of a listener.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Open connections, and those that were closed or refused, by listener.
#[derive(Debug, Clone)]
pub struct ConnectionMetrics {
    open: IntGaugeVec,
    closed: IntCounterVec,
    refused: IntCounterVec,
    listener: &'static str,
}

impl ConnectionMetrics {
    /// Creates the metrics without registering them.
    ///
    /// # Panics
    ///
    /// Panics if a name or label is malformed, which is a bug of this type.
    pub fn new() -> Self {
        let open = Opts::new(
            "masticfield_http_connections",
            "Open connections of HTTP listeners",
        );
        let closed = Opts::new(
            "masticfield_http_connections_closed_total",
            "Connections without progress that were closed to accept new ones",
        );
        let refused = Opts::new(
            "masticfield_http_connections_refused_total",
            "Connections that were closed at once as all others had requests in progress",
        );
        let (open, closed, refused) = (
            IntGaugeVec::new(open, &["listener"]),
            IntCounterVec::new(closed, &["listener"]),
            IntCounterVec::new(refused, &["listener"]),
        );
        Self {
            open: open.expect("the name and label are well-formed"),
            closed: closed.expect("the name and label are well-formed"),
            refused: refused.expect("the name and label are well-formed"),
            listener: "",
        }
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.open.clone()))?;
        registry.register(Box::new(self.closed.clone()))?;
        registry.register(Box::new(self.refused.clone()))
    }

    /// Returns the metrics of one listener.
    pub(super) fn of_listener(&self, listener: &'static str) -> Self {
        Self {
            listener,
            ..self.clone()
        }
    }

    pub(super) const fn listener(&self) -> &'static str {
        self.listener
    }

    pub(super) fn set_open(&self, connections: usize) {
        let connections = i64::try_from(connections).unwrap_or(i64::MAX);
        self.open
            .with_label_values(&[self.listener])
            .set(connections);
    }

    pub(super) fn count_closed(&self) {
        self.closed.with_label_values(&[self.listener]).inc();
    }

    pub(super) fn count_refused(&self) {
        self.refused.with_label_values(&[self.listener]).inc();
    }
}

impl Default for ConnectionMetrics {
    fn default() -> Self {
        Self::new()
    }
}
