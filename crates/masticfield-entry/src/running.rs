//! The life of an entry process.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Parser;
use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{
    Kernel, KernelContext, KernelError, Plugin, Program, ShutdownTrigger, StartFuture,
};
use masticfield_node::addresses::{Addresses, WriteAddressesError};
use masticfield_node::admin::{self, Readiness};
use masticfield_node::signals;
use masticfield_node::trace::{TraceSetupError, Tracing};
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio_util::task::TaskTracker;

use crate::metrics::Metrics;
use crate::{EntryArgs, EntrySettings};

/// Time beyond the drain timeout after which a stopping entry is gone in any case.
const STOP_MARGIN: Duration = Duration::from_secs(1);

/// An entry process that runs in this process.
#[derive(Debug)]
pub struct RunningEntry {
    kernel: Kernel,
    addresses: Addresses,
    tasks: TaskTracker,
    tracing: Tracing,
    stop_timeout: Duration,
}

/// An entry process could not start.
#[derive(Debug, Snafu)]
pub enum StartEntryError {
    /// A plug-in could not start.
    #[snafu(display("the entry process cannot start"))]
    Plugin {
        /// The cause.
        source: KernelError,
    },
    /// Spans cannot be exported.
    #[snafu(display("the entry process cannot export spans"))]
    Trace {
        /// The cause.
        source: TraceSetupError,
    },
    /// The address file cannot be written.
    #[snafu(display("the entry process cannot tell its addresses"))]
    TellAddresses {
        /// The cause.
        source: WriteAddressesError,
    },
    /// The system lets no signal be received.
    #[snafu(display("the entry process cannot receive signals"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

inventory::submit! { Plugin::new("metrics", Program::Entry, 0, start_metrics) }
inventory::submit! { Plugin::new("admin", Program::Entry, 9, start_admin) }

impl RunningEntry {
    /// Starts an entry process.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or spans cannot be exported.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartEntryError> {
        let node = settings.node.clone();
        let endpoint = node.trace_endpoint.as_deref();
        let tracing = Tracing::new("masticfield-entry", endpoint, node.trace_ratio);
        let tracing = tracing.context(TraceSnafu)?;
        let tasks = TaskTracker::new();
        let mut cx = KernelContext::new();
        cx.provide(Arc::new(settings));
        cx.provide(Incarnation::new(now_ms()));
        cx.provide(Registry::new());
        cx.provide(Readiness::new());
        cx.provide(Addresses::new());
        cx.provide(tracing.clone());
        cx.provide(tasks.clone());
        let kernel = Kernel::start(Program::Entry, cx)
            .await
            .context(PluginSnafu)?;
        let addresses = kernel
            .context()
            .need::<Addresses>()
            .context(PluginSnafu)?
            .clone();
        if let Some(path) = node.address_file {
            addresses.write(&path).context(TellAddressesSnafu)?;
        }
        tasks.close();
        Ok(Self {
            kernel,
            addresses,
            tasks,
            tracing,
            stop_timeout: node.http.linger_time() + node.http.drain() + STOP_MARGIN,
        })
    }

    /// The addresses that are listened on, by the name of their flag.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// What ends the process.
    pub fn trigger(&self) -> ShutdownTrigger {
        self.kernel.context().trigger().clone()
    }

    /// Waits until the process has ended: no request in flight is cut within the drain timeout.
    pub async fn wait(self) {
        self.kernel.context().shutdown().begun().await;
        if let Ok(readiness) = self.kernel.context().need::<Readiness>() {
            readiness.stop();
        }
        if tokio::time::timeout(self.stop_timeout, self.tasks.wait())
            .await
            .is_err()
        {
            log::warn!("requests in flight were cut after the drain timeout");
        }
        self.tracing.flush();
    }
}

/// Runs the program `masticfield-entry`.
pub fn main() -> ExitCode {
    let settings = EntryArgs::parse().check();
    masticfield_node::program::run(
        "masticfield-entry",
        settings,
        |settings| &settings.node,
        |settings| async {
            let entry = RunningEntry::start(settings).await?;
            signals::end_on_signal(entry.trigger()).context(SignalsSnafu)?;
            entry.wait().await;
            Ok::<_, StartEntryError>(())
        },
    )
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn start_metrics(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let metrics = Metrics::register(cx.need::<Registry>()?);
        let metrics = metrics.map_err(|source| KernelError::Start {
            plugin: "metrics",
            source: Box::new(source),
        })?;
        cx.provide(metrics);
        Ok(())
    })
}

fn start_admin(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let registry = cx.need::<Registry>()?.clone();
        let readiness = cx.need::<Readiness>()?.clone();
        let node = &settings.node;
        let bound = admin::spawn(
            node.admin_listen,
            node.http,
            registry,
            readiness,
            cx.shutdown(),
        )
        .await;
        let address = bound.map_err(|source| KernelError::Start {
            plugin: "admin",
            source: Box::new(source),
        })?;
        let addresses = cx.need::<Addresses>()?.clone().with("admin", address);
        cx.provide(addresses);
        Ok(())
    })
}
