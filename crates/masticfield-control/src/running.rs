//! The life of a control process.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use masticfield_core::kernel::{KernelContext, Plugin, Program, ShutdownTrigger};
use masticfield_node::addresses::Addresses;
use masticfield_node::running::{Running, StartError, start_admin};

use crate::{ControlArgs, ControlSettings};

/// A control process that runs in this process.
#[derive(Debug)]
pub struct RunningControl(Running);

inventory::submit! { Plugin::new("admin", Program::Control, 9, start_admin) }

impl RunningControl {
    /// Starts a control process.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be used or an address cannot be bound.
    pub async fn start(settings: ControlSettings) -> Result<Self, StartError> {
        let node = settings.node.clone();
        let provide = |cx: &mut _| KernelContext::provide(cx, Arc::new(settings));
        Running::start(Program::Control, node, provide)
            .await
            .map(Self)
    }

    /// The addresses that are listened on, by the name of their flag.
    pub const fn addresses(&self) -> &Addresses {
        self.0.addresses()
    }

    /// What ends the process.
    pub fn trigger(&self) -> ShutdownTrigger {
        self.0.trigger()
    }

    /// Waits until the process has ended.
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
            control.0.end_on_signal()?;
            control.wait().await;
            Ok::<_, StartError>(())
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
                held.snapshot_index, held.snapshot_bytes, held.truncated_bytes
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
