//! Command-line flags and settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use masticfield_core::ids::EntryId;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_wire::Keys;

/// Accepts requests of callers over HTTP and dispatches them to upstreams.
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield-entry", version)]
pub struct EntryArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Number of this entry, unique in the installation
    #[arg(long, env = "MASTICFIELD_ENTRY")]
    entry: Option<String>,
    /// Availability zone of this host
    #[arg(long, env = "MASTICFIELD_ZONE")]
    zone: Option<String>,
    /// Address on which callers are served
    #[arg(
        long,
        env = "MASTICFIELD_CALLER_LISTEN",
        default_value = "127.0.0.1:7400"
    )]
    caller_listen: String,
    /// Address on which announcements of upstreams are accepted
    #[arg(
        long,
        env = "MASTICFIELD_UPSTREAM_LISTEN",
        default_value = "127.0.0.1:7401"
    )]
    upstream_listen: String,
    /// Address on which other entries are served, over UDP and TCP
    #[arg(long, env = "MASTICFIELD_PEER_LISTEN", default_value = "127.0.0.1:0")]
    peer_listen: String,
    /// Address that is advertised to other entries; by default the listen address
    #[arg(long, env = "MASTICFIELD_PEER_ADVERTISE")]
    peer_advertise: Option<String>,
    /// Addresses of other entries to contact first, separated by commas
    #[arg(long, env = "MASTICFIELD_PEERS", default_value = "")]
    peers: String,
    /// Number of entries in the installation; by default the given peers and this one
    #[arg(long, env = "MASTICFIELD_ENTRY_COUNT")]
    entry_count: Option<String>,
    /// Addresses on which control replicas accept entries, separated by commas
    #[arg(long, env = "MASTICFIELD_CONTROL", default_value = "127.0.0.1:7410")]
    control: String,
    /// File with the key that authenticates the processes to each other; two keys during a rotation
    #[arg(long, env = "MASTICFIELD_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Time after which an upstream expires unless it announces itself again
    #[arg(long, env = "MASTICFIELD_UPSTREAM_TTL", default_value = "15s")]
    upstream_ttl: String,
    /// Interval between renewals of the configuration lease
    #[arg(long, env = "MASTICFIELD_LEASE_RENEWAL", default_value = "1s")]
    lease_renewal: String,
}

/// Validated settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings that all programs share.
    pub node: NodeSettings,
    /// Number of this entry, unique in the installation.
    pub entry: EntryId,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Address on which callers are served.
    pub caller_listen: SocketAddr,
    /// Address on which announcements of upstreams are accepted.
    pub upstream_listen: SocketAddr,
    /// Address on which other entries are served, over UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Address that is advertised to other entries; `None` stands for the listen address.
    pub peer_advertise: Option<SocketAddr>,
    /// Addresses of other entries to contact first; the membership finds the rest.
    pub peers: Vec<SocketAddr>,
    /// Number of entries in the installation, from 1 to 64.
    ///
    /// The slots of an executor are granted only while a majority of them agrees.
    pub entry_count: usize,
    /// Keys by which the processes authenticate to each other; `None` disables authentication.
    pub keys: Option<Keys>,
    /// Addresses on which control replicas accept entries; never empty.
    pub control: Vec<SocketAddr>,
    /// Time after which an upstream expires unless it announces itself again, from 3 s to 5 min.
    pub upstream_ttl: Duration,
    /// Interval between renewals of the configuration lease, from 50 ms to 3 s.
    pub lease_renewal: Duration,
}

impl EntryArgs {
    /// Validates all flags together.
    ///
    /// # Errors
    ///
    /// Fails with a list of all invalid settings.
    pub fn check(&self) -> Result<EntrySettings, InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_with(&mut checker);
        checker.finish_with(settings)
    }

    fn check_with(&self, checker: &mut Checker) -> Option<EntrySettings> {
        let node = self.node.check(checker);
        let entry = checker
            .require("--entry", self.entry.as_deref())
            .and_then(|text| checker.parse("--entry", text));
        let zone = checker.require("--zone", self.zone.as_deref());
        let caller_listen = checker.parse("--caller-listen", &self.caller_listen);
        let upstream_listen = checker.parse("--upstream-listen", &self.upstream_listen);
        let peer_listen = checker.parse::<SocketAddr>("--peer-listen", &self.peer_listen);
        let peer_advertise = self
            .peer_advertise
            .as_deref()
            .map(|text| checker.parse::<SocketAddr>("--peer-advertise", text));
        let can_be_advertised = peer_listen.is_none_or(|address| !address.ip().is_unspecified());
        checker.relate(
            "--peer-listen",
            can_be_advertised || peer_advertise.is_some(),
            "one address of this host, or come with",
            "--peer-advertise",
        );
        let peers = checker.parse_list("--peers", &self.peers);
        let entry_count = self
            .entry_count
            .as_deref()
            .map(|text| checker.parse("--entry-count", text));
        let entry_count = entry_count.unwrap_or(Some(peers.len() + 1));
        let entry_count =
            entry_count.and_then(|count| checker.within("--entry-count", count, 1..=64));
        checker.relate(
            "--entry-count",
            entry_count.is_none_or(|count| count > peers.len()),
            "above the number of",
            "--peers",
        );
        let control = checker.parse_list("--control", &self.control);
        let control = checker.require("--control", Some(control).filter(|list| !list.is_empty()));
        let keys = self.key_file.as_ref();
        let keys = keys.and_then(|path| checker.load("--key-file", path, Keys::read));
        let ttls = Duration::from_secs(3)..=Duration::from_mins(5);
        let upstream_ttl = checker.duration("--upstream-ttl", &self.upstream_ttl, ttls);
        let intervals = Duration::from_millis(50)..=Duration::from_secs(3);
        let lease_renewal = checker.duration("--lease-renewal", &self.lease_renewal, intervals);
        Some(EntrySettings {
            node: node?,
            entry: entry?,
            zone: zone?.into(),
            caller_listen: caller_listen?,
            upstream_listen: upstream_listen?,
            peer_listen: peer_listen?,
            peer_advertise: peer_advertise.flatten(),
            peers,
            entry_count: entry_count?,
            control: control?,
            keys,
            upstream_ttl: upstream_ttl?,
            lease_renewal: lease_renewal?,
        })
    }
}
