//! Command line of the subcommand `upstream`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::addresses::{Addresses, WriteAddressesError};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_node::{program, signals};
use snafu::{ResultExt, Snafu};

use super::{FakeUpstream, RequestStats, StartUpstreamError, UpstreamOptions};

/// Flags of the subcommand `upstream`.
#[derive(Debug, Clone, Args)]
pub struct UpstreamArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Identifier of the upstream, unique in the installation
    #[arg(long, env = "MASTICFIELD_UPSTREAM")]
    id: Option<String>,
    /// Service that the upstream runs
    #[arg(long, env = "MASTICFIELD_SERVICE")]
    service: Option<String>,
    /// Name of the host that it reports
    #[arg(long, env = "MASTICFIELD_HOST", default_value = "host-1")]
    host: String,
    /// Availability zone that it reports
    #[arg(long, env = "MASTICFIELD_ZONE", default_value = "zone-1")]
    zone: String,
    /// Address to accept requests on
    #[arg(long, env = "MASTICFIELD_LISTEN", default_value = "127.0.0.1:0")]
    listen: String,
    /// Upstream addresses of the entries to announce itself to, separated by commas
    #[arg(long, env = "MASTICFIELD_ENTRIES", default_value = "127.0.0.1:7401")]
    entries: String,
    /// Number of slots: requests that run at the same time
    #[arg(long, env = "MASTICFIELD_SLOTS", default_value = "8")]
    slots: String,
    /// Time that each request takes to run
    #[arg(long, env = "MASTICFIELD_LATENCY", default_value = "5ms")]
    latency: String,
}

/// The subcommand failed.
#[derive(Debug, Snafu)]
enum UpstreamError {
    /// The upstream could not start.
    #[snafu(display("the upstream cannot start"))]
    Start {
        /// Why the upstream could not listen.
        source: StartUpstreamError,
    },
    /// The address file could not be written.
    #[snafu(display("the address of the upstream cannot be written to the address file"))]
    WriteAddress {
        /// Path of the address file and error of the operating system.
        source: WriteAddressesError,
    },
    /// The handlers of termination signals could not be installed.
    #[snafu(display("the upstream cannot handle signals"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl UpstreamArgs {
    fn check(&self) -> Result<(NodeSettings, UpstreamOptions), InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_all(&mut checker);
        checker.finish_with(settings)
    }

    fn check_all(&self, checker: &mut Checker) -> Option<(NodeSettings, UpstreamOptions)> {
        let node = self.node.check(checker);
        let id = checker.require("--id", self.id.as_deref());
        let service = checker.require("--service", self.service.as_deref());
        let listen = checker.parse("--listen", &self.listen);
        let entries: Vec<SocketAddr> = checker.parse_list("--entries", &self.entries);
        let slots = checker.parse("--slots", &self.slots);
        let slots = slots.and_then(|slots| checker.within("--slots", slots, 1..=64));
        let latency_range = Duration::ZERO..=Duration::from_mins(1);
        let latency = checker.duration("--latency", &self.latency, latency_range);
        let options = UpstreamOptions::new(id?, service?)
            .location(&*self.host, &*self.zone)
            .listen(listen?)
            .entries(entries)
            .slots(slots?)
            .latency(latency?);
        Some((node?, options))
    }
}

/// Runs the subcommand `upstream` until a termination signal arrives.
pub fn main(args: &UpstreamArgs) -> ExitCode {
    program::run("masticfield-fake", args.check(), |(node, _)| node, run)
}

async fn run((node, options): (NodeSettings, UpstreamOptions)) -> Result<(), UpstreamError> {
    let upstream = FakeUpstream::start(options, RequestStats::new())
        .await
        .context(StartSnafu)?;
    write_address(upstream.address(), node.address_file)?;
    let trigger = ShutdownTrigger::new();
    signals::shut_down_on_signal(trigger.clone()).context(SignalsSnafu)?;
    trigger.subscribe().requested().await;
    let stats = upstream.stats().clone();
    upstream.stop().await;
    let (requests, over_slots) = (stats.requests(), stats.over_slots());
    log::info!(requests, over_slots; "the upstream has left");
    Ok(())
}

fn write_address(address: SocketAddr, file: Option<PathBuf>) -> Result<(), UpstreamError> {
    let Some(path) = file else { return Ok(()) };
    Addresses::new()
        .with("upstream", address)
        .write(&path)
        .context(WriteAddressSnafu)
}
