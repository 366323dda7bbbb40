//! Time until a release note is in force on every entry.

#![expect(
    clippy::cast_precision_loss,
    reason = "milliseconds are far below 2^52"
)]

use std::time::{Duration, Instant};

use masticfield_cli::ControlClient;
use masticfield_core::operator::{FleetStatus, NoteAccepted, RolloutStatus};
use tempfile::TempDir;

use super::error::TimeoutSnafu;
use crate::experiment::ExperimentError;
use crate::loopback;

/// Number of entries that must serve each note.
const ENTRIES: u16 = 3;

/// Time limit for the entries to connect, and for a note to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the control process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the median time from the acceptance of a note until it is in force, in milliseconds.
///
/// `notes` release notes are sent one after the other to a control process with three entries over
/// loopback. The time is the one that the control process reports.
///
/// # Errors
///
/// Fails if a process cannot be started, or if a note is refused or not in force in time.
pub async fn in_force_ms(notes: u64) -> Result<f64, ExperimentError> {
    let dir = TempDir::new()?;
    let control = loopback::start_control(&dir).await?;
    let mut entries = Vec::new();
    let mut peers = Vec::new();
    for number in 1..=ENTRIES {
        let entry = loopback::start_entry(number, ENTRIES, &peers, &control).await?;
        peers.push(loopback::bound_address(entry.addresses().address("peer"))?);
        entries.push(entry);
    }
    let client = loopback::control_client(&control, WAIT_TIMEOUT)?;
    wait_for_entries(&client).await?;
    let mut times = Vec::new();
    for number in 1..=notes {
        let note = format!("number = {number}\nbuilds_on = {}\n", number - 1);
        let _accepted: NoteAccepted = client.post("/v1/notes", note).await?;
        times.push(wait_in_force(&client, number).await?);
    }
    times.sort_unstable_by(f64::total_cmp);
    Ok(times.get(times.len() / 2).copied().unwrap_or_default())
}

/// Waits until every entry holds a lease; a note is in force at once while none does.
async fn wait_for_entries(client: &ControlClient) -> Result<(), ExperimentError> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let status: FleetStatus = client.get("/v1/status").await?;
        if status.entries.len() == usize::from(ENTRIES) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let awaited = "connect to every entry";
    Ok(TimeoutSnafu { awaited }.fail()?)
}

async fn wait_in_force(client: &ControlClient, number: u64) -> Result<f64, ExperimentError> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let status: RolloutStatus = client.get(&format!("/v1/notes/{number}")).await?;
        if let Some(ms) = status.in_force_after_ms {
            return Ok(ms as f64);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let awaited = "bring a note into force";
    Ok(TimeoutSnafu { awaited }.fail()?)
}
