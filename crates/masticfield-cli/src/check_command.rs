//! The subcommand `check`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use masticfield_core::settings::InvalidSettings;
use masticfield_node::program::error_chain;
use snafu::{ResultExt, Snafu};

use crate::check::{Base, Finding, Report, check};
use crate::error::{BaseSnafu, FileSnafu, NoteSnafu, OutputSnafu, RuntimeSnafu};
use crate::{Cli, CliError, Command, ControlClient, OutputFormat};

/// Exit code for warnings with `--strict`.
const EXIT_WARNINGS: u8 = 1;

/// Exit code for errors in the note, and for a file that cannot be read.
const EXIT_ERRORS: u8 = 2;

/// Reason why the version in force could not be fetched.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The flags for the connection are missing or invalid.
    #[snafu(display("{}", source.to_string().trim_end().replace('\n', "; ")))]
    Settings {
        /// The cause.
        source: InvalidSettings,
    },
    /// The installation did not answer.
    #[snafu(display("{}", error_chain(source)))]
    Fetch {
        /// The cause.
        source: CliError,
    },
}

/// Runs `check` and prints the report.
pub(crate) fn main(cli: &Cli) -> ExitCode {
    let output = match cli.check_output() {
        Ok(output) => output,
        Err(error) => return crate::reject_settings(&error),
    };
    match run(cli, output) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("masticfield: {}", error_chain(&error));
            ExitCode::from(EXIT_ERRORS)
        }
    }
}

fn run(cli: &Cli, output: OutputFormat) -> Result<ExitCode, CliError> {
    let Command::Check {
        file,
        offline,
        base,
        strict,
    } = &cli.command
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let bytes = std::fs::read(file).context(FileSnafu { path: file })?;
    let report = if *offline {
        check(&bytes, Base::Unknown)
    } else if base.is_empty() {
        check_with_installation(cli, &bytes)
    } else {
        check(&bytes, Base::Known(&read_base(base)?))
    };
    let printed = output.print(&report, ToString::to_string);
    printed.context(OutputSnafu)?;
    Ok(exit_code(&report, *strict))
}

fn exit_code(report: &Report, strict: bool) -> ExitCode {
    if report.errors() > 0 {
        ExitCode::from(EXIT_ERRORS)
    } else if strict && report.warnings() > 0 {
        ExitCode::from(EXIT_WARNINGS)
    } else {
        ExitCode::SUCCESS
    }
}

/// Checks a note with the version in force, or alone if that cannot be fetched.
fn check_with_installation(cli: &Cli, bytes: &[u8]) -> Report {
    match fetch(cli) {
        Ok(config) => check(bytes, Base::Known(&config)),
        Err(error) => check(bytes, Base::Unknown).with_finding(Finding::not_compared(error)),
    }
}

fn fetch(cli: &Cli) -> Result<FleetConfig, FetchError> {
    let settings = cli.check().context(SettingsSnafu)?;
    let control = ControlClient::new(settings.control, settings.token, settings.timeout);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let fetched = runtime
        .context(RuntimeSnafu)
        .and_then(|runtime| runtime.block_on(control.get("/v1/config")));
    fetched.context(FetchSnafu)
}

/// Applies the given notes in turn, from an empty configuration on.
fn read_base(paths: &[PathBuf]) -> Result<FleetConfig, CliError> {
    let mut config = FleetConfig::default();
    for path in paths {
        let note = read_note(path)?;
        config = config.apply(&note).context(BaseSnafu { path })?;
    }
    Ok(config)
}

fn read_note(path: &Path) -> Result<ReleaseNote, CliError> {
    let bytes = std::fs::read(path).context(FileSnafu { path })?;
    ReleaseNote::from_bytes(&bytes).context(NoteSnafu { path })
}
