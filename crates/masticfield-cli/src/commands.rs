//! Subcommands that send requests to the control replicas.

use std::path::Path;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{
    DrainAccepted, FleetStatus, HistoryRow, HostRow, JobRow, NoteAccepted, PlanPreview,
    RolloutStatus, UpstreamRow,
};
use snafu::ResultExt;

use crate::error::{FileSnafu, NoteSnafu, OutputSnafu};
use crate::{CliError, Command, ControlClient, Settings, tables};

/// Interval between two polls of a roll-out's status.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Runs a subcommand and prints its result.
pub(crate) async fn run(settings: &Settings, command: Command) -> Result<(), CliError> {
    let control = ControlClient::new(
        settings.control.clone(),
        settings.token.clone(),
        settings.timeout,
    );
    let output = settings.output;
    let printed = match command {
        Command::Apply { file, wait, .. } => return apply(settings, &control, &file, wait).await,
        Command::Plan { file } => {
            let preview: PlanPreview = control.post("/v1/plan", read_note(&file)?.1).await?;
            output.print(&preview, tables::preview)
        }
        Command::Status => {
            let status: FleetStatus = control.get("/v1/status").await?;
            output.print(&status, tables::status)
        }
        Command::Hosts => {
            let rows: Vec<HostRow> = control.get("/v1/hosts").await?;
            output.print(&rows, |rows| tables::hosts(rows))
        }
        Command::Upstreams => {
            let rows: Vec<UpstreamRow> = control.get("/v1/upstreams").await?;
            output.print(&rows, |rows| tables::upstreams(rows))
        }
        Command::Jobs => {
            let rows: Vec<JobRow> = control.get("/v1/jobs").await?;
            output.print(&rows, |rows| tables::jobs(rows))
        }
        Command::History { .. } => {
            let path = format!("/v1/history?since={}", settings.since);
            let rows: Vec<HistoryRow> = control.get(&path).await?;
            output.print(&rows, |rows| tables::history(rows))
        }
        Command::Explain { kind, name } => {
            let path = format!("/v1/explain/{}/{name}", kind.segment());
            let rows: Vec<HistoryRow> = control.get(&path).await?;
            output.print(&rows, |rows| tables::history(rows))
        }
        Command::Drain { host } => {
            let path = format!("/v1/hosts/{host}/drain");
            let accepted: DrainAccepted = control.post(&path, "").await?;
            output.print(&accepted, |accepted| {
                format!(
                    "host {} drains at generation {}",
                    accepted.host, accepted.generation
                )
            })
        }
        Command::Check { .. } | Command::Completions { .. } | Command::Logs { .. } => Ok(()),
    };
    printed.context(OutputSnafu)
}

async fn apply(
    settings: &Settings,
    control: &ControlClient,
    file: &Path,
    wait: bool,
) -> Result<(), CliError> {
    let (note, text) = read_note(file)?;
    let accepted: NoteAccepted = control.post("/v1/notes", text).await?;
    if !wait {
        let printed = settings.output.print(&accepted, tables::accepted);
        return printed.context(OutputSnafu);
    }
    let status = wait_in_force(settings, control, note.number).await?;
    let printed = settings.output.print(&status, tables::rollout);
    printed.context(OutputSnafu)
}

/// Polls the roll-out of a note, showing its progress, until the note is in force everywhere.
async fn wait_in_force(
    settings: &Settings,
    control: &ControlClient,
    number: u64,
) -> Result<RolloutStatus, CliError> {
    let started = Instant::now();
    let progress = progress_bar(number);
    loop {
        let status: RolloutStatus = control.get(&format!("/v1/notes/{number}")).await?;
        let entries = status.acknowledged.len() + status.pending.len();
        progress.set_length(entries as u64);
        progress.set_position(status.acknowledged.len() as u64);
        if status.in_force {
            progress.finish_and_clear();
            return Ok(status);
        }
        let waited = started.elapsed();
        if waited >= settings.wait_timeout {
            progress.abandon();
            return Err(CliError::StillPending { number, waited });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn progress_bar(number: u64) -> ProgressBar {
    let template = "note {prefix}: {bar:24} {pos}/{len} entries, {elapsed}";
    let style = ProgressStyle::with_template(template).expect("the template is valid");
    ProgressBar::new(0)
        .with_style(style)
        .with_prefix(number.to_string())
}

/// Reads and parses a note, so that an invalid one is refused without a request.
fn read_note(path: &Path) -> Result<(ReleaseNote, Vec<u8>), CliError> {
    let bytes = std::fs::read(path).context(FileSnafu { path })?;
    let note = ReleaseNote::from_bytes(&bytes).context(NoteSnafu { path })?;
    Ok((note, bytes))
}
