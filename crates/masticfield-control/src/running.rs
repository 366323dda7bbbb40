//! Starts, runs and stops a control process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use masticfield_core::kernel::{KernelContext, Plugin, Program, ShutdownTrigger};
use masticfield_node::addresses::Addresses;
use masticfield_node::running::{RunningProgram, StartError, start_admin};

use crate::{ControlArgs, ControlSettings};

/// A control process that runs on the current runtime.
#[derive(Debug)]
pub struct RunningControl(RunningProgram);

inventory::submit! { Plugin::new("admin", Program::Control, 9, start_admin) }

impl RunningControl {
    /// Starts a control process.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be opened or an address cannot be bound.
    pub async fn start(settings: ControlSettings) -> Result<Self, StartError> {
        let node = settings.node.clone();
        let provide = |cx: &mut _| KernelContext::provide(cx, Arc::new(settings));
        RunningProgram::start(Program::Control, node, provide)
            .await
            .map(Self)
    }

    /// The addresses of the listeners by name, such as `entry` and `operator`.
    pub const fn addresses(&self) -> &Addresses {
        self.0.addresses()
    }

    /// Returns the trigger that starts a graceful shutdown.
    pub fn trigger(&self) -> ShutdownTrigger {
        self.0.trigger()
    }

    /// Waits until the shutdown is complete.
    pub async fn wait(self) {
        self.0.wait().await;
    }
}

/// Runs the program `masticfield-control`.
pub fn main() -> ExitCode {
    let args = ControlArgs::parse();
    if let Some(folder) = args.folder_to_check() {
        return check_folder(folder);
    }
    masticfield_node::program::run(
        "masticfield-control",
        args.check(),
        |settings| &settings.node,
        |settings| async {
            let control = RunningControl::start(settings).await?;
            control.0.shut_down_on_signal()?;
            control.wait().await;
            Ok::<_, StartError>(())
        },
    )
}

/// Prints the contents of a data folder; fails if it is damaged.
fn check_folder(folder: &Path) -> ExitCode {
    match masticfield_replica::storage::inspect(folder) {
        Ok(contents) => {
            println!("{} is sound", folder.display());
            println!(
                "written by {}, term {}",
                contents.identity, contents.hard_state.term
            );
            println!(
                "log up to entry {} in {} segments, {} bytes in all",
                contents.last_index, contents.segments, contents.bytes
            );
            println!(
                "snapshot up to entry {}, {} bytes; truncated tail of {} bytes",
                contents.snapshot_index, contents.snapshot_bytes, contents.truncated_bytes
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!(
                "masticfield-control: {}",
                masticfield_node::program::error_chain(&error)
            );
            ExitCode::FAILURE
        }
    }
}
