//! All masticfield programs in one process with stand-ins on loopback.

use std::process::ExitCode;

/// Runs the program `masticfield-demo`.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
