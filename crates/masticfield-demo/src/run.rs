//! The course of the demo.

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

/// Time within which the installation must settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between two looks.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The demo failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// There is no folder for the durable state.
    #[snafu(display("no temporary folder can be made"))]
    Folder {
        /// The cause.
        source: std::io::Error,
    },
    /// A process could not start.
    #[snafu(display("the installation cannot start"))]
    Start {
        /// The cause.
        source: StartFleetError,
    },
    /// The control process did not do what was asked.
    #[snafu(display("the control process refused"))]
    Control {
        /// The cause.
        source: CliError,
    },
    /// The system lets no signal be received.
    #[snafu(display("signals cannot be received"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// A property was seen broken.
    #[snafu(display("properties were seen broken: {broken:?}"))]
    Property {
        /// The properties.
        broken: Vec<Violation>,
    },
}

/// Runs the program `masticfield-demo`.
pub fn main() -> ExitCode {
    let settings = DemoArgs::parse().check();
    masticfield_node::program::run("masticfield-demo", settings, |settings| &settings.node, run)
}

async fn run(settings: DemoSettings) -> Result<(), DemoError> {
    let note = settings.sample.note();
    let dir = TempDir::new().context(FolderSnafu)?;
    let fleet = Fleet::start(dir.path(), &note).await.context(StartSnafu)?;
    let control = fleet.control_client();
    let entries = fleet.caller_addresses();
    let accepted_at = Instant::now();
    let accepted: NoteAccepted = control
        .post("/v1/notes", settings.sample.text())
        .await
        .context(ControlSnafu)?;
    let in_force_after =
        wait_in_force(&control, accepted.number, entries.len(), accepted_at).await?;
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
        stay_up(
            &entries,
            fleet.operator_address(),
            &dir,
            &note.added.services[0].name,
        )
        .await?;
    }
    fleet.stop().await;
    let broken = summary.violations();
    ensure!(broken.is_empty(), PropertySnafu { broken });
    Ok(())
}

/// Waits until all entries serve the note, and returns how long that took.
async fn wait_in_force(
    control: &ControlClient,
    number: u64,
    entries: usize,
    accepted_at: Instant,
) -> Result<Option<Duration>, DemoError> {
    while accepted_at.elapsed() < SETTLE_TIMEOUT {
        let path = format!("/v1/notes/{number}");
        let rollout: RolloutStatus = control.get(&path).await.context(ControlSnafu)?;
        if rollout.in_force && rollout.acknowledged.len() == entries {
            return Ok(Some(accepted_at.elapsed()));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Ok(None)
}

async fn wait_for_executors(control: &ControlClient, executors: usize) -> Result<(), DemoError> {
    let began = Instant::now();
    while began.elapsed() < SETTLE_TIMEOUT {
        let rows: Vec<UpstreamRow> = control.get("/v1/upstreams").await.context(ControlSnafu)?;
        if rows.len() == executors {
            return Ok(());
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}

/// Prints commands to try and waits for the end.
async fn stay_up(
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
