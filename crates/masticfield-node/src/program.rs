//! Lifecycle of a long-running program, from settings to exit code.

use std::error::Error;
use std::process::ExitCode;

use masticfield_core::settings::InvalidSettings;
use tokio::runtime::Runtime;

use crate::args::NodeSettings;
use crate::log_setup;

/// Runs a long-running program to its end and returns its exit code.
///
/// Invalid settings are listed on standard error and give exit code 2. A failure of `body` is
/// written to standard error with its chain of causes and gives exit code 1.
pub fn run<S, E, F>(
    name: &'static str,
    settings: Result<S, InvalidSettings>,
    node: impl Fn(&S) -> &NodeSettings,
    body: impl FnOnce(S) -> F,
) -> ExitCode
where
    E: Error,
    F: Future<Output = Result<(), E>>,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprint!("{name}: {error}");
            return ExitCode::from(InvalidSettings::EXIT_CODE);
        }
    };
    log_setup::init(name, node(&settings).log_level, node(&settings).log_format);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(name, &error),
    };
    let result = runtime.block_on(body(settings));
    runtime.shutdown_background();
    match result {
        Ok(()) => {
            log::info!("stopped");
            ExitCode::SUCCESS
        }
        Err(error) => fail(name, &error),
    }
}

/// Formats an error and its causes in one line, separated by colons.
pub fn error_chain(error: &dyn Error) -> String {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        line.push_str(": ");
        line.push_str(&error.to_string());
        cause = error.source();
    }
    line
}

fn fail(name: &str, error: &dyn Error) -> ExitCode {
    eprintln!("{name}: {}", error_chain(error));
    ExitCode::FAILURE
}
