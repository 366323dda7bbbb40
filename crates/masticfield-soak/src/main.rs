//! The program `masticfield-soak`.

use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use masticfield_node::log_setup::{self, LogFormat};
use masticfield_soak::SoakError;
use masticfield_soak::args::{SoakArgs, SoakCommand};
use masticfield_soak::faults::Plan;
use masticfield_soak::soak::{self, SoakOptions};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code if a promise was broken.
const EXIT_VIOLATION: u8 = 1;

/// Exit code if the soak cannot run.
const EXIT_CANNOT_RUN: u8 = 2;

fn main() -> ExitCode {
    log_setup::init("masticfield-soak", LevelFilter::Info, LogFormat::Text);
    match execute(SoakArgs::parse()) {
        Ok(code) => code,
        Err(error) => {
            log::error!(error:%, cause:? = std::error::Error::source(&error); "the soak cannot run");
            ExitCode::from(EXIT_CANNOT_RUN)
        }
    }
}

fn execute(args: SoakArgs) -> Result<ExitCode, SoakError> {
    match args.command {
        SoakCommand::Run { seed, size } | SoakCommand::Replay { seed, size } => {
            run(size.options(seed, true)?)
        }
        SoakCommand::List { seed, size } => {
            let options = size.options(seed, false)?;
            print!("{}", Plan::draw(&options.plan_options()));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run(options: SoakOptions) -> Result<ExitCode, SoakError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build();
    let runtime = runtime.map_err(|source| SoakError::Io {
        what: "the async runtime",
        source,
    })?;
    let summary = runtime.block_on(soak::run(options))?;
    println!("{summary}");
    Ok(if summary.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATION)
    })
}
