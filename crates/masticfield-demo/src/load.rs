//! Requests that the demo sends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::ServiceSpec;
use masticfield_fake::caller::{LoadGenerator, LoadReport, Pace};

/// Concurrent callers of each service but the first.
const CALLERS: usize = 4;

/// Concurrent callers of the first service.
const SURGE_CALLERS: usize = 20;

/// Interval between the requests of a caller.
const INTERVAL: Duration = Duration::from_millis(20);

/// Every Nth request of a caller has an idempotency key, so that it must run at most once.
const KEYED_SHARE: u64 = 10;

/// Results of the requests for one service.
#[derive(Debug)]
pub(crate) struct ServiceReport {
    /// Service that the requests were for.
    pub service: Arc<str>,
    /// Counts of results and latencies.
    pub report: LoadReport,
}

/// Sends requests for every service for `duration`, with five times the load on the first one.
pub(crate) async fn run(
    entries: &[SocketAddr],
    services: &[ServiceSpec],
    duration: Duration,
) -> Vec<ServiceReport> {
    let mut generators = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let callers = if index == 0 { SURGE_CALLERS } else { CALLERS };
        let generator = LoadGenerator::new(entries.iter().copied(), Arc::clone(&service.name))
            .pace(Pace::Every(INTERVAL, duration))
            .callers(callers)
            .keyed_share(KEYED_SHARE);
        generators.push((Arc::clone(&service.name), tokio::spawn(generator.run())));
    }
    let mut reports = Vec::new();
    for (service, generator) in generators {
        match generator.await {
            Ok(report) => reports.push(ServiceReport { service, report }),
            Err(error) => log::error!(service, error:%; "a load generator failed"),
        }
    }
    reports
}
