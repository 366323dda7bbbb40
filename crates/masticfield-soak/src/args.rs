//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use crate::SoakError;
use crate::faults::FaultSet;
use crate::programs::Binaries;
use crate::soak::SoakOptions;

/// Randomized fault soak of masticfield's programs
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield-soak", version)]
pub struct SoakArgs {
    /// What to do
    #[command(subcommand)]
    pub command: SoakCommand,
}

/// What to do.
#[derive(Debug, Clone, Subcommand)]
pub enum SoakCommand {
    /// Run programs, inject the faults of a seed and check what the programs promise
    Run {
        /// Seed of the plan of faults
        #[arg(long)]
        seed: u64,
        /// Size and length of the soak
        #[command(flatten)]
        size: SizeArgs,
    },
    /// Run the plan of a seed again; the options must be those of the first run
    Replay {
        /// Seed of the plan of faults
        seed: u64,
        /// Size and length of the soak
        #[command(flatten)]
        size: SizeArgs,
    },
    /// Print the plan of a seed
    List {
        /// Seed of the plan of faults
        seed: u64,
        /// Size and length of the soak
        #[command(flatten)]
        size: SizeArgs,
    },
}

/// Size and length of a soak.
#[derive(Debug, Clone, Args)]
pub struct SizeArgs {
    /// Minutes in which faults are injected
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Number of processes: control programs and entries
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(4..=200))]
    processes: u16,
    /// Number of control programs, of which less than half may fail
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(3..=7))]
    controls: u8,
    /// Number of executors
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(2..=400))]
    executors: u16,
    /// Number of callers
    #[arg(long, default_value_t = 6)]
    callers: u16,
    /// Faults that may be injected
    #[arg(long, value_enum, default_value = "all")]
    faults: FaultSet,
    /// Factor on bounds that hold only without disturbance, for busy machines
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=100))]
    stretch: u32,
    /// Folder of logs, settings and data; by default a new one in the folder for temporary files
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Control program to run, instead of the one that is built with this program
    #[arg(long, env = "MASTICFIELD_SOAK_CONTROL")]
    control_program: Option<PathBuf>,
    /// Entry program to run, instead of the one that is built with this program
    #[arg(long, env = "MASTICFIELD_SOAK_ENTRY")]
    entry_program: Option<PathBuf>,
}

impl SizeArgs {
    /// Converts the arguments to options, without programs.
    ///
    /// # Errors
    ///
    /// Fails if the programs are not given and cannot be built.
    pub fn options(self, seed: u64, with_programs: bool) -> Result<SoakOptions, SoakError> {
        let name = format!("masticfield-soak-{seed}-{}", std::process::id());
        let folder = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join(name));
        let controls = usize::from(self.controls);
        let binaries = if with_programs {
            Binaries::find(self.control_program, self.entry_program)?
        } else {
            Binaries {
                control: PathBuf::new(),
                entry: PathBuf::new(),
            }
        };
        Ok(SoakOptions {
            seed,
            length_ms: milliseconds(self.minutes),
            controls,
            entries: usize::from(self.processes).saturating_sub(controls).max(1),
            executors: usize::from(self.executors),
            callers: usize::from(self.callers),
            faults: self.faults,
            stretch: self.stretch,
            folder,
            binaries,
        })
    }
}

/// Milliseconds of a number of minutes.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn milliseconds(minutes: f64) -> u64 {
    (minutes * 60_000.0).clamp(0.0, 86_400_000.0) as u64
}
