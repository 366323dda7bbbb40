//! Gauges of the replica, the configuration and the entries.

use masticfield_replica::ReplicaStatus;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

/// Gauges of the replica, the configuration and the entries.
#[derive(Debug, Clone)]
pub(super) struct Gauges {
    replica: IntGaugeVec,
    config_version: IntGauge,
    entries: IntGauge,
}

impl Gauges {
    /// Creates the gauges and registers them.
    pub(super) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let replica = Opts::new(
            "masticfield_replica",
            "Term, index of the last committed entry, and whether it leads and writes",
        );
        let replica = IntGaugeVec::new(replica, &["what"])?;
        let config_version =
            IntGauge::new("masticfield_config_version", "Number of the latest note")?;
        let entries = IntGauge::new("masticfield_entries", "Entries that hold a lease")?;
        registry.register(Box::new(replica.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        registry.register(Box::new(entries.clone()))?;
        Ok(Self {
            replica,
            config_version,
            entries,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, status: ReplicaStatus, version: u64, entries: usize) {
        let values = [
            ("term", status.term),
            ("committed", status.committed),
            ("leads", u64::from(status.leader == Some(status.id))),
            ("storage-failed", u64::from(status.storage_failed)),
            ("no-space", u64::from(status.lacks_space)),
            (
                "majority-without-space",
                u64::from(status.majority_lacks_space),
            ),
        ];
        for (what, value) in values {
            self.replica
                .with_label_values(&[what])
                .set(gauge_value(value));
        }
        self.config_version.set(gauge_value(version));
        self.entries.set(i64::try_from(entries).unwrap_or(i64::MAX));
    }
}

/// Converts a value to a gauge's type, which it saturates.
fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
