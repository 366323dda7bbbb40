//! Control, entry and upstream, all running in this process.

use std::time::Duration;

use masticfield_control::RunningControl;
use masticfield_core::operator::NoteAccepted;
use masticfield_entry::RunningEntry;
use masticfield_fake::caller::LoadGenerator;
use masticfield_fake::upstream::{FakeUpstream, RequestStats, UpstreamOptions};
use tempfile::TempDir;

use super::PathError;
use crate::experiment::ExperimentError;
use crate::loopback;

const SERVICE: &str = "measured";

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
        let control = loopback::start_control(&dir).await?;
        let control_client = loopback::control_client(&control, READY_TIMEOUT)?;
        let _response: NoteAccepted = control_client.post("/v1/notes", RELEASE_NOTE).await?;
        let entry = loopback::start_entry(1, 1, &[], &control).await?;
        let upstream_address = loopback::bound_address(entry.addresses().address("upstream"))?;
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
