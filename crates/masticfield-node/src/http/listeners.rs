//! The HTTP listeners of a process.

use std::net::SocketAddr;

use prometheus::Registry;

use super::{BindError, Bodies, ConnectionMetrics, HttpLimits, ResourceBounds, Server};

/// Smallest maximum number of connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Binds the HTTP listeners of a process, which share its memory and descriptors.
#[derive(Debug, Clone)]
pub struct Listeners {
    bounds: ResourceBounds,
    bodies: Bodies,
    metrics: ConnectionMetrics,
}

impl Listeners {
    /// Creates the tables of a process with these bounds, and registers the metrics of all
    /// listeners.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn register(
        bounds: ResourceBounds,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        log::info!(
            body_bytes = bounds.body_bytes(),
            connections = bounds.connections();
            "bounds of the HTTP listeners"
        );
        let (bodies, metrics) = (Bodies::new(bounds), ConnectionMetrics::new());
        bodies.register(registry)?;
        metrics.register(registry)?;
        Ok(Self {
            bounds,
            bodies,
            metrics,
        })
    }

    /// Binds a listener with its percentage of the connections of the process; `flag` names the
    /// setting in errors and logs.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or does not belong to this host.
    pub async fn bind(
        &self,
        flag: &'static str,
        address: SocketAddr,
        limits: HttpLimits,
    ) -> Result<Server, BindError> {
        let share = self.bounds.connections() * limits.connection_percent() / 100;
        let share = share.max(MIN_CONNECTIONS);
        let limits = limits.with_max_connections(limits.max_connections().min(share));
        let server = Server::bind(flag, address, limits).await?;
        Ok(server.bodies(self.bodies.clone()).metrics(&self.metrics))
    }
}
