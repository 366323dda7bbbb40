//! Control, entry and upstream, all running in this process.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use masticfield_cli::ControlClient;
use masticfield_control::{ControlArgs, RunningControl};
use masticfield_core::operator::NoteAccepted;
use masticfield_entry::{EntryArgs, RunningEntry};
use masticfield_fake::caller::LoadGenerator;
use masticfield_fake::upstream::{FakeUpstream, RequestStats, UpstreamOptions};
use masticfield_node::token::Token;
use tempfile::TempDir;

use super::PathError;
use crate::experiment::ExperimentError;

const SERVICE: &str = "measured";
const OPERATOR_TOKEN: &str = "masticfield-measure-operator";

/// Release note with one service whose executor has a slot for every caller.
const RELEASE_NOTE: &str = r#"
number = 1
builds_on = 0
[added]
pools = [{ name = "pool", hosts = 1 }]
[[added.services]]
name = "measured"
pool = "pool"
executors = 1
slots = 64
"#;

/// Time within which the entry must answer a first request.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Running control, entry and upstream.
#[derive(Debug)]
pub(super) struct Installation {
    _dir: TempDir,
    _control: RunningControl,
    entry: RunningEntry,
    upstream: FakeUpstream,
}

impl Installation {
    /// Starts all parts and waits until the entry answers a request.
    pub(super) async fn start() -> Result<Self, ExperimentError> {
        let dir = TempDir::new()?;
        let control = start_control(&dir).await?;
        let operator = bound_address(control.addresses().address("operator"))?;
        let control_client =
            ControlClient::new(vec![operator], Token::new(OPERATOR_TOKEN), READY_TIMEOUT);
        let _response: NoteAccepted = control_client.post("/v1/notes", RELEASE_NOTE).await?;
        let entry = start_entry(bound_address(control.addresses().address("entry"))?).await?;
        let upstream_address = bound_address(entry.addresses().address("upstream"))?;
        let options = UpstreamOptions::new("upstream", SERVICE)
            .slots(64)
            .entries([upstream_address]);
        let upstream = FakeUpstream::start(options, RequestStats::new()).await?;
        let installation = Self {
            _dir: dir,
            _control: control,
            entry,
            upstream,
        };
        installation.wait_until_ready().await?;
        Ok(installation)
    }

    /// Load sent directly to the upstream.
    pub(super) fn direct_load(&self) -> LoadGenerator {
        LoadGenerator::new([self.upstream.address()], SERVICE).direct()
    }

    /// Load sent through the entry.
    pub(super) fn entry_load(&self) -> LoadGenerator {
        LoadGenerator::new(self.entry.addresses().address("caller"), SERVICE)
    }

    async fn wait_until_ready(&self) -> Result<(), ExperimentError> {
        let start = std::time::Instant::now();
        let mut last_report = serde_json::Value::Null;
        while start.elapsed() < READY_TIMEOUT {
            let report = self
                .entry_load()
                .pace(masticfield_fake::caller::Pace::Count(1))
                .run()
                .await;
            if report.answered() == 1 {
                return Ok(());
            }
            last_report = report.to_json();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(PathError::NotReady { last_report }.into())
    }
}

async fn start_control(dir: &TempDir) -> Result<RunningControl, ExperimentError> {
    let token = dir.path().join("token");
    std::fs::write(&token, OPERATOR_TOKEN)?;
    let args = ControlArgs::parse_from([
        "masticfield-control".as_ref(),
        "--data-dir".as_ref(),
        dir.path().join("data").as_os_str(),
        "--token-file".as_ref(),
        token.as_os_str(),
        "--entry-listen=127.0.0.1:0".as_ref(),
        "--operator-listen=127.0.0.1:0".as_ref(),
    ]);
    Ok(RunningControl::start(args.check()?).await?)
}

async fn start_entry(control: SocketAddr) -> Result<RunningEntry, ExperimentError> {
    let args = EntryArgs::parse_from([
        "masticfield-entry",
        "--entry=1",
        "--zone=zone-1",
        &format!("--control={control}"),
        "--caller-listen=127.0.0.1:0",
        "--upstream-listen=127.0.0.1:0",
        "--lease-renewal=250ms",
    ]);
    Ok(RunningEntry::start(args.check()?).await?)
}

fn bound_address(address: Option<SocketAddr>) -> Result<SocketAddr, ExperimentError> {
    address.ok_or_else(|| PathError::NoAddress.into())
}
