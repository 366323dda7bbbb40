//! Metrics of request bodies.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use super::BodyError;

/// Memory that bodies hold, and the bodies that were not read.
#[derive(Debug, Clone)]
pub(super) struct BodyMetrics {
    held: IntGauge,
    refused: IntCounterVec,
}

impl BodyMetrics {
    /// Creates the metrics without registering them.
    ///
    /// # Panics
    ///
    /// Panics if a name or label is malformed, which is a bug of this type.
    pub(super) fn new() -> Self {
        let held = IntGauge::new(
            "masticfield_http_body_bytes",
            "Memory that request bodies hold, in bytes",
        );
        let refused = Opts::new(
            "masticfield_http_bodies_refused_total",
            "Request bodies that were not read to their end, by reason",
        );
        let refused = IntCounterVec::new(refused, &["reason"]);
        Self {
            held: held.expect("the name is well-formed"),
            refused: refused.expect("the name and label are well-formed"),
        }
    }

    pub(super) fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.held.clone()))?;
        registry.register(Box::new(self.refused.clone()))
    }

    pub(super) fn set_held(&self, bytes: usize) {
        self.held.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(super) fn count_error(&self, error: &BodyError) {
        let reason = match error {
            BodyError::TooLarge { .. } => "too_large",
            BodyError::TooSlow { .. } => "too_slow",
            BodyError::Truncated { .. } => "truncated",
            BodyError::NoRoom => "no_room",
            BodyError::GivenUp => "given_up",
        };
        self.refused.with_label_values(&[reason]).inc();
    }
}
