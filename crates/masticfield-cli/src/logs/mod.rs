//! Timeline of a job, gathered from the logs of several processes.
//!
//! The logs are read from files that hold the standard output of the processes, so no running
//! installation is needed.

mod line;
mod timeline;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::Duration;

use snafu::ResultExt;

use crate::error::{FileSnafu, OutputSnafu};
use crate::{CliError, OutputFormat, tables};

pub use line::LogLine;
pub use timeline::{Relation, Timeline, TimelineLine};

/// Prints the timeline of a job from the logs in `files`.
pub(crate) fn print(
    output: OutputFormat,
    job: &str,
    files: &[PathBuf],
    around: Duration,
) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for path in files {
        lines.extend(read(path)?);
    }
    let timeline = Timeline::gather(lines, job, around);
    output
        .print(&timeline, tables::timeline)
        .context(OutputSnafu)
}

/// Reads the lines of a file, skipping those that are not log lines of masticfield.
fn read(path: &Path) -> Result<Vec<LogLine>, CliError> {
    let file = File::open(path).context(FileSnafu { path })?;
    let mut lines = Vec::new();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.context(FileSnafu { path })?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(lines)
}
