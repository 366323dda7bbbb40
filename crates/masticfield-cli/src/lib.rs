//! Operator command line of masticfield.
//!
//! # Exit codes
//!
//! | code | meaning |
//! | --- | --- |
//! | 0 | done |
//! | 1 | no control replica could be reached, or a file could not be read |
//! | 2 | a flag or variable is invalid |
//! | 3 | the request was refused and changed nothing |
//! | 4 | the outcome is not known, or there is no quorum or leader; send the same request again |
//! | 5 | `--wait` timed out; the note stays accepted |
//!
//! `check` has codes of its own: 0 if the note has no errors, 1 if it has warnings and `--strict` is
//! given, 2 if it has errors or cannot be read.
//!
//! # Examples
//!
//! ```
//! use masticfield_cli::OutputFormat;
//!
//! assert_eq!("json".parse(), Ok(OutputFormat::Json));
//! ```

mod args;
pub mod check;
mod check_command;
mod commands;
mod control_client;
mod error;
pub mod logs;
mod output;
mod tables;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use masticfield_core::settings::InvalidSettings;
use masticfield_node::program::error_chain;

pub use args::{Cli, Command, ExplainKind, Settings};
pub use control_client::ControlClient;
pub use error::CliError;
pub use output::{OutputFormat, ParseOutputFormatError};

/// Runs the program `masticfield`.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Command::Completions { shell } = cli.command {
        let mut command = Cli::command();
        clap_complete::generate(shell, &mut command, "masticfield", &mut std::io::stdout());
        return ExitCode::SUCCESS;
    }
    if let Command::Logs { job, files, around } = &cli.command {
        return match cli.check_logs(around) {
            Ok((output, around)) => finish(logs::print(output, job, files, around)),
            Err(error) => reject_settings(&error),
        };
    }
    if let Command::Check { .. } = cli.command {
        return check_command::main(&cli);
    }
    match cli.check() {
        Ok(settings) => run(&settings, cli.command),
        Err(error) => reject_settings(&error),
    }
}

fn reject_settings(error: &InvalidSettings) -> ExitCode {
    eprint!("masticfield: {error}");
    ExitCode::from(InvalidSettings::EXIT_CODE)
}

fn run(settings: &Settings, command: Command) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(settings, command)),
        Err(source) => Err(CliError::Runtime { source }),
    };
    finish(result)
}

fn finish(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("masticfield: {}", error_chain(&error));
            ExitCode::from(error.exit_code())
        }
    }
}
