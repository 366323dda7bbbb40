//! The load of the demo.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::ServiceSpec;
use masticfield_fake::caller::{LoadGenerator, LoadReport, Pace};

/// Callers of each service between surges.
const CALLERS: usize = 4;

/// Callers of the service that surges.
const SURGE_CALLERS: usize = 20;

/// Time between two requests of a caller.
const INTERVAL: Duration = Duration::from_millis(20);

/// Each so many-th request must run at most once.
const KEYED_SHARE: u64 = 10;

/// What came of the load on one service.
#[derive(Debug)]
pub(crate) struct ServiceReport {
    /// Name of the service.
    pub service: Arc<str>,
    /// Outcomes and waits.
    pub report: LoadReport,
}

/// Sends requests to every service for `duration`; the first one surges to five times the rest.
pub(crate) async fn run(
    entries: &[SocketAddr],
    services: &[ServiceSpec],
    duration: Duration,
) -> Vec<ServiceReport> {
    let mut loads = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let callers = if index == 0 { SURGE_CALLERS } else { CALLERS };
        let load = LoadGenerator::new(entries.iter().copied(), Arc::clone(&service.name))
            .pace(Pace::Every(INTERVAL, duration))
            .callers(callers)
            .keyed_share(KEYED_SHARE);
        loads.push((Arc::clone(&service.name), tokio::spawn(load.run())));
    }
    let mut reports = Vec::new();
    for (service, load) in loads {
        match load.await {
            Ok(report) => reports.push(ServiceReport { service, report }),
            Err(error) => log::error!(service, error:%; "a load failed"),
        }
    }
    reports
}
