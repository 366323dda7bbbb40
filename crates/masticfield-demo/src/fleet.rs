//! The processes of an installation, run as tasks of the demo.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use masticfield_cli::ControlClient;
use masticfield_control::{ControlArgs, RunningControl};
use masticfield_core::note::{HostSpec, ReleaseNote};
use masticfield_core::settings::InvalidSettings;
use masticfield_entry::{EntryArgs, RunningEntry, StartEntryError};
use masticfield_fake::platform::{PlatformServer, StartPlatformError, Timings};
use masticfield_fake::upstream::{FakeUpstream, RequestStats, StartUpstreamError, UpstreamOptions};
use masticfield_node::running::StartError;
use masticfield_node::token::Token;
use snafu::{ResultExt, Snafu};

/// Operator token; it need not be secret, as the demo listens on loopback only.
const TOKEN: &str = "masticfield-demo-operator";

/// Time that the fake platform takes to drain a host.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Time that a request takes to run at an executor.
const LATENCY: Duration = Duration::from_millis(10);

/// Time within which the control process must answer a request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// A control process, entries and executors beside a fake platform.
#[derive(Debug)]
pub(crate) struct Fleet {
    // Serves the control process until it is dropped.
    _platform: PlatformServer,
    control: RunningControl,
    entries: Vec<RunningEntry>,
    upstreams: Vec<FakeUpstream>,
    stats: RequestStats,
}

/// A component of the installation could not start.
#[derive(Debug, Snafu)]
pub enum StartFleetError {
    /// The settings that the demo gives to a component are invalid, which is a bug.
    #[snafu(display("the settings of a component are invalid"))]
    Settings {
        /// The invalid settings.
        source: InvalidSettings,
    },
    /// The token file could not be written.
    #[snafu(display("the operator token cannot be written to the temporary directory"))]
    WriteToken {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The control process could not start.
    #[snafu(display("the control process cannot start"))]
    Control {
        /// Error of the control process at its start.
        source: StartError,
    },
    /// An entry could not start.
    #[snafu(display("an entry cannot start"))]
    Entry {
        /// Error of the entry at its start.
        source: StartEntryError,
    },
    /// The fake platform could not start.
    #[snafu(display("the fake platform cannot start"))]
    Platform {
        /// Why the platform could not listen.
        source: StartPlatformError,
    },
    /// A fake executor could not start.
    #[snafu(display("a fake executor cannot start"))]
    Upstream {
        /// Why the upstream could not listen.
        source: StartUpstreamError,
    },
}

impl Fleet {
    /// Starts the platform, the control process, an entry for each availability zone and the
    /// executors.
    ///
    /// The state of the control process is kept in `dir`, as is the token file `token`.
    pub(crate) async fn start(dir: &Path, note: &ReleaseNote) -> Result<Self, StartFleetError> {
        let timings = Timings {
            drain: DRAIN_TIME,
            ..Timings::default()
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let hosts = note.added.hosts.iter().cloned();
        let platform = PlatformServer::start(listen, timings, hosts).await;
        let platform = platform.context(PlatformSnafu)?;
        let control = start_control(dir, platform.address()).await?;
        let zones: BTreeSet<_> = note.added.hosts.iter().map(|host| &host.zone).collect();
        let mut entries = Vec::new();
        let mut peers = Vec::new();
        for (zone, number) in zones.iter().zip(1..) {
            let control = control_address(&control, "entry");
            let entry = start_entry(number, zone, zones.len(), &peers, control).await?;
            peers.push(entry_address(&entry, "peer").to_string());
            entries.push(entry);
        }
        let stats = RequestStats::new();
        let mut upstreams = Vec::new();
        for (index, (service, host)) in placements(note).into_iter().enumerate() {
            let announce_to = entry_address(&entries[index % entries.len()], "upstream");
            let id = format!("{service}-{}", host.name);
            let options = UpstreamOptions::new(id, service)
                .location(Arc::clone(&host.name), Arc::clone(&host.zone))
                .entries([announce_to])
                .latency(LATENCY);
            upstreams.push(
                FakeUpstream::start(options, stats.clone())
                    .await
                    .context(UpstreamSnafu)?,
            );
        }
        Ok(Self {
            _platform: platform,
            control,
            entries,
            upstreams,
            stats,
        })
    }

    /// Client for the operator interface of the control process.
    pub(crate) fn control_client(&self) -> ControlClient {
        ControlClient::new(
            vec![self.operator_address()],
            Token::new(TOKEN),
            CONTROL_TIMEOUT,
        )
    }

    /// Address of the operator interface of the control process.
    pub(crate) fn operator_address(&self) -> SocketAddr {
        control_address(&self.control, "operator")
    }

    /// Addresses that the entries accept requests of callers on.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry_address(entry, "caller"))
            .collect()
    }

    /// Number of executors that were started.
    pub(crate) const fn executors(&self) -> usize {
        self.upstreams.len()
    }

    /// Statistics of the requests of all executors.
    pub(crate) const fn stats(&self) -> &RequestStats {
        &self.stats
    }

    /// Stops all processes gracefully: executors first, then entries, then the control process.
    pub(crate) async fn stop(self) {
        let stopping = self
            .upstreams
            .into_iter()
            .map(|upstream| tokio::spawn(upstream.stop()));
        let stopping: Vec<_> = stopping.collect();
        for upstream in stopping {
            if let Err(error) = upstream.await {
                log::error!(error:%; "an executor failed to stop");
            }
        }
        for entry in &self.entries {
            entry.trigger().shut_down();
        }
        for entry in self.entries {
            entry.wait().await;
        }
        self.control.trigger().shut_down();
        self.control.wait().await;
    }
}

async fn start_control(
    dir: &Path,
    platform: SocketAddr,
) -> Result<RunningControl, StartFleetError> {
    let token = dir.join("token");
    std::fs::write(&token, TOKEN).context(WriteTokenSnafu)?;
    let platform_flag = format!("--platform={platform}");
    let args = ControlArgs::parse_from([
        "masticfield-control".as_ref(),
        "--data-dir".as_ref(),
        dir.join("data").as_os_str(),
        "--token-file".as_ref(),
        token.as_os_str(),
        "--entry-listen=127.0.0.1:0".as_ref(),
        "--operator-listen=127.0.0.1:0".as_ref(),
        "--stop-linger=0s".as_ref(),
        platform_flag.as_ref(),
    ]);
    RunningControl::start(args.check().context(SettingsSnafu)?)
        .await
        .context(ControlSnafu)
}

async fn start_entry(
    number: u16,
    zone: &str,
    count: usize,
    peers: &[String],
    control: SocketAddr,
) -> Result<RunningEntry, StartFleetError> {
    let args = EntryArgs::parse_from([
        "masticfield-entry",
        &format!("--entry={number}"),
        &format!("--zone={zone}"),
        &format!("--control={control}"),
        &format!("--entry-count={count}"),
        &format!("--peers={}", peers.join(",")),
        "--caller-listen=127.0.0.1:0",
        "--upstream-listen=127.0.0.1:0",
        "--lease-renewal=250ms",
        "--stop-linger=0s",
    ]);
    RunningEntry::start(args.check().context(SettingsSnafu)?)
        .await
        .context(EntrySnafu)
}

/// Service and host of each executor; the executors of a service are spread over the
/// availability zones.
fn placements(note: &ReleaseNote) -> Vec<(&str, &HostSpec)> {
    let mut sorted: Vec<_> = note.added.hosts.iter().collect();
    // Sorted by the number at the end of the name, consecutive hosts are in different zones.
    sorted.sort_by_key(|host| (host.name.rsplit('-').next(), &host.zone));
    let mut hosts = sorted.into_iter();
    let mut placements = Vec::new();
    for service in &note.added.services {
        let count = usize::try_from(service.executors).unwrap_or(usize::MAX);
        placements.extend(
            hosts
                .by_ref()
                .take(count)
                .map(|host| (&*service.name, host)),
        );
    }
    placements
}

fn control_address(control: &RunningControl, name: &str) -> SocketAddr {
    control
        .addresses()
        .address(name)
        .expect("a running process has bound all its addresses")
}

fn entry_address(entry: &RunningEntry, name: &str) -> SocketAddr {
    entry
        .addresses()
        .address(name)
        .expect("a running process has bound all its addresses")
}
