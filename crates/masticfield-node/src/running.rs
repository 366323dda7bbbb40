//! Start and shutdown of a program's plug-ins.
//!
//! Plug-ins find the common settings, the metrics registry, the readiness, the bound addresses and
//! the tracker of tasks that the shutdown waits for in the kernel context.

use std::time::Duration;

use masticfield_core::kernel::{
    Kernel, KernelContext, KernelError, Program, ShutdownTrigger, StartFuture,
};
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio_util::task::TaskTracker;

use crate::addresses::{Addresses, WriteAddressesError};
use crate::admin::{self, Readiness};
use crate::args::NodeSettings;
use crate::http::Listeners;
use crate::signals;

/// Time beyond the limits of the servers after which the shutdown stops waiting for tasks.
const STOP_MARGIN: Duration = Duration::from_secs(5);

/// A program whose plug-ins have been started.
#[derive(Debug)]
pub struct RunningProgram {
    kernel: Kernel,
    addresses: Addresses,
    tasks: TaskTracker,
    stop_timeout: Duration,
}

/// Reason why a program could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A plug-in could not start.
    #[snafu(display("a plug-in cannot start"))]
    Plugin {
        /// The cause.
        source: KernelError,
    },
    /// The address file cannot be written.
    #[snafu(display("the bound addresses cannot be published"))]
    WriteAddresses {
        /// The cause.
        source: WriteAddressesError,
    },
    /// A metric cannot be registered.
    #[snafu(display("a metric cannot be registered"))]
    Metrics {
        /// The cause.
        source: prometheus::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("the signal handlers cannot be installed"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

impl RunningProgram {
    /// Starts the plug-ins of `program`, after `provide` has added the program's own handles.
    ///
    /// # Errors
    ///
    /// Fails if a plug-in cannot start or the address file cannot be written.
    pub async fn start(
        program: Program,
        node: NodeSettings,
        provide: impl FnOnce(&mut KernelContext),
    ) -> Result<Self, StartError> {
        let address_file = node.address_file.clone();
        let stop_timeout = node.http.linger() + node.http.drain_timeout() + STOP_MARGIN;
        let tasks = TaskTracker::new();
        let mut cx = KernelContext::new();
        let registry = Registry::new();
        let listeners = Listeners::register(node.bounds, &registry).context(MetricsSnafu)?;
        cx.provide(node);
        cx.provide(listeners);
        cx.provide(registry);
        cx.provide(Readiness::new());
        cx.provide(Addresses::new());
        cx.provide(tasks.clone());
        provide(&mut cx);
        let kernel = Kernel::start(program, cx).await.context(PluginSnafu)?;
        let addresses = kernel.context().need::<Addresses>().context(PluginSnafu)?;
        let addresses = addresses.clone();
        if let Some(path) = address_file {
            addresses.write(&path).context(WriteAddressesSnafu)?;
        }
        tasks.close();
        Ok(Self {
            kernel,
            addresses,
            tasks,
            stop_timeout,
        })
    }

    /// Returns the addresses that the program listens on, by the name of the listener.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the trigger that shuts the program down.
    pub fn trigger(&self) -> ShutdownTrigger {
        self.kernel.context().trigger().clone()
    }

    /// Requests the shutdown on the first SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn shut_down_on_signal(&self) -> Result<(), StartError> {
        signals::shut_down_on_signal(self.trigger()).context(SignalsSnafu)
    }

    /// Waits for a shutdown request, and then until the requests in flight are done.
    ///
    /// Requests in flight that outlast the drain timeout are cut.
    pub async fn wait(self) {
        self.kernel.context().shutdown().requested().await;
        if let Ok(readiness) = self.kernel.context().need::<Readiness>() {
            readiness.stop();
        }
        let drained = tokio::time::timeout(self.stop_timeout, self.tasks.wait()).await;
        if drained.is_err() {
            log::warn!("requests in flight were cut after the drain timeout");
        }
    }
}

/// Starts the listener for metrics, health and readiness, which is a plug-in of every program.
pub fn start_admin(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let node = cx.need::<NodeSettings>()?.clone();
        let listeners = cx.need::<Listeners>()?.clone();
        let registry = cx.need::<Registry>()?.clone();
        let readiness = cx.need::<Readiness>()?.clone();
        let shutdown = cx.shutdown();
        let bound = admin::spawn(
            node.admin_listen,
            node.http,
            &listeners,
            registry,
            readiness,
            shutdown,
        );
        let address = bound.await.map_err(|source| KernelError::Start {
            plugin: "admin",
            source: Box::new(source),
        })?;
        let addresses = cx.need::<Addresses>()?.clone().with("admin", address);
        cx.provide(addresses);
        Ok(())
    })
}
