//! What the logs of several processes say of one job.
//!
//! The reader needs no running installation: it takes the files that the processes' standard
//! output was written to.

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

/// Prints the trail of a job through the logs in `files`.
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
    let trail = Timeline::gather(lines, job, around);
    output.print(&trail, tables::trail).context(OutputSnafu)
}

/// Reads a file; what is not masticfield's, or no text, is left out.
fn read(path: &Path) -> Result<Vec<LogLine>, CliError> {
    let file = File::open(path).context(FileSnafu { path })?;
    let mut lines = Vec::new();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.context(FileSnafu { path })?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(lines)
}
