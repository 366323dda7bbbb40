//! The program `masticfield-demo`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use masticfield_cli::{CliError, ControlClient};
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_core::operator::{FleetStatus, NoteAccepted, RolloutStatus, UpstreamRow};
use masticfield_node::signals;
use snafu::{ResultExt, Snafu, ensure};
use tempfile::TempDir;

use crate::fleet::{Fleet, StartFleetError};
use crate::{DemoArgs, DemoSettings, Summary, Violation, load};

/// Longest wait for the note to be in force, and then for all executors to be known.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the control process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The demo failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The directory for durable state could not be created.
    #[snafu(display("the temporary directory cannot be created"))]
    CreateDir {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A component of the installation could not start.
    #[snafu(display("the installation cannot start"))]
    Start {
        /// Which component could not start.
        source: StartFleetError,
    },
    /// A request to the control process failed or was refused.
    #[snafu(display("a request to the control process failed"))]
    Control {
        /// The refusal, or the error of the connection.
        source: CliError,
    },
    /// The handlers of termination signals could not be installed.
    #[snafu(display("signals cannot be handled"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The run violated guarantees of masticfield.
    #[snafu(display("guarantees were violated: {violations:?}"))]
    Violations {
        /// All violations of the run.
        violations: Vec<Violation>,
    },
}

/// Parses the command line and runs the demo; the exit code is a failure after a violation.
pub fn main() -> ExitCode {
    let settings = DemoArgs::parse().check();
    masticfield_node::program::run("masticfield-demo", settings, |settings| &settings.node, run)
}

async fn run(settings: DemoSettings) -> Result<(), DemoError> {
    let note = settings.fleet.note();
    let dir = TempDir::new().context(CreateDirSnafu)?;
    let fleet = Fleet::start(dir.path(), &note).await.context(StartSnafu)?;
    let control = fleet.control_client();
    let entries = fleet.caller_addresses();
    let sent_at = Instant::now();
    let accepted: NoteAccepted = control
        .post("/v1/notes", settings.fleet.text())
        .await
        .context(ControlSnafu)?;
    let in_force_after = wait_in_force(&control, accepted.number, entries.len(), sent_at).await?;
    wait_for_executors(&control, fleet.executors()).await?;
    println!(
        "{} executors, {} entries; sending requests …",
        fleet.executors(),
        entries.len()
    );
    let services = load::run(&entries, &note.added.services, settings.load).await;
    let status: FleetStatus = control.get("/v1/status").await.context(ControlSnafu)?;
    let summary = Summary {
        services,
        status,
        in_force_after,
        stats: fleet.stats().clone(),
    };
    println!("{summary}");
    if settings.serve {
        serve_until_signal(
            &entries,
            fleet.operator_address(),
            &dir,
            &note.added.services[0].name,
        )
        .await?;
    }
    fleet.stop().await;
    let violations = summary.violations();
    ensure!(violations.is_empty(), ViolationsSnafu { violations });
    Ok(())
}

/// Waits until all entries serve the note, and returns the time since it was sent; `None`
/// after a time-out.
async fn wait_in_force(
    control: &ControlClient,
    number: u64,
    entries: usize,
    sent_at: Instant,
) -> Result<Option<Duration>, DemoError> {
    while sent_at.elapsed() < SETTLE_TIMEOUT {
        let path = format!("/v1/notes/{number}");
        let rollout: RolloutStatus = control.get(&path).await.context(ControlSnafu)?;
        if rollout.in_force && rollout.acknowledged.len() == entries {
            return Ok(Some(sent_at.elapsed()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

/// Waits until the control process lists all executors, or a time-out.
async fn wait_for_executors(control: &ControlClient, executors: usize) -> Result<(), DemoError> {
    let started = Instant::now();
    while started.elapsed() < SETTLE_TIMEOUT {
        let rows: Vec<UpstreamRow> = control.get("/v1/upstreams").await.context(ControlSnafu)?;
        if rows.len() == executors {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Prints commands to try, and waits for a termination signal.
async fn serve_until_signal(
    entries: &[SocketAddr],
    operator: SocketAddr,
    dir: &TempDir,
    service: &str,
) -> Result<(), DemoError> {
    let token = dir.path().join("token");
    let flags = format!("--control {operator} --token-file {}", token.display());
    println!("\nTry, until you press Ctrl-C:");
    println!("  curl -i http://{}/{service}/panel/7", entries[0]);
    println!("  cargo run --release --bin masticfield -- {flags} status");
    println!("  cargo run --release --bin masticfield -- {flags} hosts");
    println!("  cargo run --release --bin masticfield -- {flags} history");
    let trigger = ShutdownTrigger::new();
    signals::shut_down_on_signal(trigger.clone()).context(SignalsSnafu)?;
    trigger.subscribe().requested().await;
    Ok(())
}
