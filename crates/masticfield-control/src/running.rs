//! The life of a control process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use masticfield_core::kernel::{
    Kernel, KernelContext, KernelError, Plugin, Program, ShutdownTrigger, StartFuture,
};
use masticfield_node::addresses::{Addresses, WriteAddressesError};
use masticfield_node::admin::{self, Readiness};
use masticfield_node::signals;
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio_util::task::TaskTracker;

use crate::{ControlArgs, ControlSettings};

/// A control process that runs in this process.
#[derive(Debug)]
pub struct RunningControl {
    kernel: Kernel,
    addresses: Addresses,
    tasks: TaskTracker,
}

/// A control process could not start.
#[derive(Debug, Snafu)]
pub enum StartControlError {
    /// A plug-in could not start.
    #[snafu(display("the control process cannot start"))]
    Plugin {
        /// The cause.
        source: KernelError,
    },
    /// The address file cannot be written.
    #[snafu(display("the control process cannot tell its addresses"))]
    TellAddresses {
        /// The cause.
        source: WriteAddressesError,
    },
    /// The system lets no signal be received.
    #[snafu(display("the control process cannot receive signals"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

inventory::submit! { Plugin::new("admin", Program::Control, 9, start_admin) }

impl RunningControl {
    /// Starts a control process.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be used or an address cannot be bound.
    pub async fn start(settings: ControlSettings) -> Result<Self, StartControlError> {
        let address_file = settings.node.address_file.clone();
        let tasks = TaskTracker::new();
        let mut cx = KernelContext::new();
        cx.provide(Arc::new(settings));
        cx.provide(Registry::new());
        cx.provide(Readiness::new());
        cx.provide(Addresses::new());
        cx.provide(tasks.clone());
        let kernel = Kernel::start(Program::Control, cx)
            .await
            .context(PluginSnafu)?;
        let addresses = kernel
            .context()
            .need::<Addresses>()
            .context(PluginSnafu)?
            .clone();
        if let Some(path) = address_file {
            addresses.write(&path).context(TellAddressesSnafu)?;
        }
        tasks.close();
        Ok(Self {
            kernel,
            addresses,
            tasks,
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

    /// Waits until the process has ended.
    pub async fn wait(self) {
        self.kernel.context().shutdown().begun().await;
        self.tasks.wait().await;
    }
}

/// Runs the program `masticfield-control`.
pub fn main() -> ExitCode {
    let args = ControlArgs::parse();
    if let Some(folder) = args.folder_to_check() {
        return check_folder(folder);
    }
    let settings = args.check();
    masticfield_node::program::run(
        "masticfield-control",
        settings,
        |settings| &settings.node,
        |settings| async {
            let control = RunningControl::start(settings).await?;
            signals::end_on_signal(control.trigger()).context(SignalsSnafu)?;
            control.wait().await;
            Ok::<_, StartControlError>(())
        },
    )
}

/// Prints what a data folder holds; fails if it is not sound.
fn check_folder(folder: &Path) -> ExitCode {
    match masticfield_replica::storage::inspect(folder) {
        Ok(held) => {
            println!("{} is sound", folder.display());
            println!(
                "written by {}, term {}",
                held.identity, held.hard_state.term
            );
            println!(
                "log up to entry {} in {} segments, {} bytes in all",
                held.last_index, held.segments, held.bytes
            );
            println!(
                "snapshot up to entry {}, {} bytes; torn tail of {} bytes",
                held.snapshot_index, held.snapshot_bytes, held.torn_bytes
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!(
                "masticfield-control: {}",
                masticfield_node::program::chain(&error)
            );
            ExitCode::FAILURE
        }
    }
}

fn start_admin(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
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
