//! Starting and stopping an entry process.

use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{
    KernelContext, KernelError, Plugin, Program, ShutdownTrigger, StartFuture,
};
use masticfield_node::addresses::Addresses;
use masticfield_node::clock::epoch_ms;
use masticfield_node::running::{RunningProgram, StartError, start_admin};
use masticfield_node::trace::{TraceSetupError, Tracing};
use prometheus::Registry;
use snafu::{ResultExt, Snafu};

use crate::metrics::Metrics;
use crate::{EntryArgs, EntrySettings};

/// A running entry; one process can run several.
#[derive(Debug)]
pub struct RunningEntry {
    running: RunningProgram,
    tracing: Tracing,
}

/// An entry process could not start.
#[derive(Debug, Snafu)]
pub enum StartEntryError {
    /// A plug-in cannot start, the address file cannot be written, or signals cannot be handled.
    #[snafu(display("the entry process cannot start"))]
    Program {
        /// The cause.
        source: StartError,
    },
    /// The exporter of trace spans cannot be set up.
    #[snafu(display("the entry process cannot export spans"))]
    Trace {
        /// The cause.
        source: TraceSetupError,
    },
}

inventory::submit! { Plugin::new("metrics", Program::Entry, 0, start_metrics) }
inventory::submit! { Plugin::new("admin", Program::Entry, 9, start_admin) }

impl RunningEntry {
    /// Starts an entry and returns once it listens on all its addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the address file cannot be written or the exporter of
    /// spans cannot be set up.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartEntryError> {
        let node = settings.node.clone();
        let endpoint = node.trace_endpoint.as_deref();
        let tracing = Tracing::new("masticfield-entry", endpoint, node.trace_ratio);
        let tracing = tracing.context(TraceSnafu)?;
        let shared = tracing.clone();
        let provide = |cx: &mut KernelContext| {
            cx.provide(Arc::new(settings));
            cx.provide(Incarnation::new(epoch_ms()));
            cx.provide(shared);
        };
        let running = RunningProgram::start(Program::Entry, node, provide).await;
        let running = running.context(ProgramSnafu)?;
        Ok(Self { running, tracing })
    }

    /// Returns the addresses on which the entry listens.
    ///
    /// They are named `caller`, `upstream`, `peer` and `admin`, after their flags.
    pub const fn addresses(&self) -> &Addresses {
        self.running.addresses()
    }

    /// Returns the trigger that begins a graceful shutdown.
    pub fn trigger(&self) -> ShutdownTrigger {
        self.running.trigger()
    }

    /// Waits until the entry has stopped, then flushes its trace spans.
    ///
    /// After the shutdown has begun, requests in flight may finish within the drain timeout.
    pub async fn wait(self) {
        self.running.wait().await;
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
            entry.running.shut_down_on_signal().context(ProgramSnafu)?;
            entry.wait().await;
            Ok::<_, StartEntryError>(())
        },
    )
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
