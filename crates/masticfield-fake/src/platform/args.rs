//! The subcommand `platform`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_core::note::{ParseNoteError, ReleaseNote};
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::addresses::{Addresses, WriteAddressesError};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_node::{program, signals};
use snafu::{ResultExt, Snafu};

use super::server::StartPlatformError;
use super::{PlatformServer, Timings};

/// Flags of the subcommand.
#[derive(Debug, Clone, Args)]
pub struct PlatformArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Release note whose added hosts become workers
    #[arg(long, env = "MASTICFIELD_NOTE")]
    note: Option<PathBuf>,
    /// Address for the control process
    #[arg(long, env = "MASTICFIELD_LISTEN", default_value = "127.0.0.1:7430")]
    listen: String,
}

/// The stand-in ended with a failure.
#[derive(Debug, Snafu)]
enum PlatformError {
    /// It could not start.
    #[snafu(display("the platform cannot start"))]
    Start {
        /// The cause.
        source: StartPlatformError,
    },
    /// The address file cannot be written.
    #[snafu(display("the platform cannot tell its address"))]
    TellAddress {
        /// The cause.
        source: WriteAddressesError,
    },
    /// The system lets no signal be received.
    #[snafu(display("the platform cannot receive signals"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

/// A file gives no workers.
#[derive(Debug, Snafu)]
enum ReadNoteError {
    /// The file cannot be read.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: std::io::Error,
    },
    /// The file is no release note.
    #[snafu(display("{source}"))]
    Note {
        /// The cause.
        source: ParseNoteError,
    },
}

struct PlatformSettings {
    node: NodeSettings,
    workers: ReleaseNote,
    listen: SocketAddr,
}

impl PlatformArgs {
    fn check(&self) -> Result<PlatformSettings, InvalidSettings> {
        let mut checker = Checker::new();
        let node = self.node.check(&mut checker);
        let workers = self.read_note(&mut checker);
        let listen = checker.parse("--listen", &self.listen);
        let settings = node.zip(workers).zip(listen);
        checker.finish_with(settings.map(|((node, workers), listen)| PlatformSettings {
            node,
            workers,
            listen,
        }))
    }

    fn read_note(&self, checker: &mut Checker) -> Option<ReleaseNote> {
        let path = checker.require("--note", self.note.as_ref())?;
        checker.load("--note", path, read_note)
    }
}

fn read_note(path: &Path) -> Result<ReleaseNote, ReadNoteError> {
    let bytes = std::fs::read(path).context(FileSnafu)?;
    ReleaseNote::from_bytes(&bytes).context(NoteSnafu)
}

/// Runs the subcommand `platform`.
pub fn main(args: &PlatformArgs) -> ExitCode {
    program::run(
        "masticfield-fake",
        args.check(),
        |settings| &settings.node,
        run,
    )
}

async fn run(settings: PlatformSettings) -> Result<(), PlatformError> {
    let hosts = settings.workers.added.hosts;
    let started = PlatformServer::start(settings.listen, Timings::default(), hosts).await;
    let platform = started.context(StartSnafu)?;
    if let Some(path) = settings.node.address_file {
        let addresses = Addresses::new().with("platform", platform.address());
        addresses.write(&path).context(TellAddressSnafu)?;
    }
    let trigger = ShutdownTrigger::new();
    signals::shut_down_on_signal(trigger.clone()).context(SignalsSnafu)?;
    trigger.subscribe().requested().await;
    Ok(())
}
