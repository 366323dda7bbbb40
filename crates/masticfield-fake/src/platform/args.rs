//! Command line of the subcommand `platform`.

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

/// Flags of the subcommand `platform`.
#[derive(Debug, Clone, Args)]
pub struct PlatformArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// File of a release note; each host that it adds becomes a worker
    #[arg(long, env = "MASTICFIELD_NOTE")]
    note: Option<PathBuf>,
    /// Address that the control process connects to
    #[arg(long, env = "MASTICFIELD_LISTEN", default_value = "127.0.0.1:7430")]
    listen: String,
}

/// The subcommand failed.
#[derive(Debug, Snafu)]
enum PlatformError {
    /// The platform could not start.
    #[snafu(display("the platform cannot start"))]
    Start {
        /// Why the platform could not listen.
        source: StartPlatformError,
    },
    /// The address file could not be written.
    #[snafu(display("the address of the platform cannot be written to the address file"))]
    WriteAddress {
        /// Path of the address file and error of the operating system.
        source: WriteAddressesError,
    },
    /// The handlers of termination signals could not be installed.
    #[snafu(display("the platform cannot handle signals"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// The file of `--note` cannot be used.
#[derive(Debug, Snafu)]
enum ReadNoteError {
    /// The file could not be read.
    #[snafu(display("{source}"))]
    File {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid release note.
    #[snafu(display("{source}"))]
    Note {
        /// Where and why parsing failed.
        source: ParseNoteError,
    },
}

struct PlatformSettings {
    node: NodeSettings,
    release_note: ReleaseNote,
    listen: SocketAddr,
}

impl PlatformArgs {
    fn check(&self) -> Result<PlatformSettings, InvalidSettings> {
        let mut checker = Checker::new();
        let node = self.node.check(&mut checker);
        let release_note = self.read_note(&mut checker);
        let listen = checker.parse("--listen", &self.listen);
        let settings = node.zip(release_note).zip(listen);
        checker.finish_with(
            settings.map(|((node, release_note), listen)| PlatformSettings {
                node,
                release_note,
                listen,
            }),
        )
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

/// Runs the subcommand `platform` until a termination signal arrives.
pub fn main(args: &PlatformArgs) -> ExitCode {
    program::run(
        "masticfield-fake",
        args.check(),
        |settings| &settings.node,
        run,
    )
}

async fn run(settings: PlatformSettings) -> Result<(), PlatformError> {
    let hosts = settings.release_note.added.hosts;
    let platform = PlatformServer::start(settings.listen, Timings::default(), hosts).await;
    let platform = platform.context(StartSnafu)?;
    if let Some(path) = settings.node.address_file {
        let addresses = Addresses::new().with("platform", platform.address());
        addresses.write(&path).context(WriteAddressSnafu)?;
    }
    let trigger = ShutdownTrigger::new();
    signals::shut_down_on_signal(trigger.clone()).context(SignalsSnafu)?;
    trigger.subscribe().requested().await;
    Ok(())
}
