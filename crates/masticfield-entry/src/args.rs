//! Flags and settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use masticfield_core::ids::EntryId;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_wire::Keys;

/// Answers callers over HTTP and sends their requests to upstreams.
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
    /// Address for callers
    #[arg(
        long,
        env = "MASTICFIELD_CALLER_LISTEN",
        default_value = "127.0.0.1:7400"
    )]
    caller_listen: String,
    /// Address for the announcements of upstreams
    #[arg(
        long,
        env = "MASTICFIELD_UPSTREAM_LISTEN",
        default_value = "127.0.0.1:7401"
    )]
    upstream_listen: String,
    /// Address for the other entries, over UDP and TCP
    #[arg(long, env = "MASTICFIELD_PEER_LISTEN", default_value = "127.0.0.1:0")]
    peer_listen: String,
    /// Address that the other entries are told, if it is not the one that is listened on
    #[arg(long, env = "MASTICFIELD_PEER_ADVERTISE")]
    peer_advertise: Option<String>,
    /// Addresses of some other entries, separated by commas
    #[arg(long, env = "MASTICFIELD_PEERS", default_value = "")]
    peers: String,
    /// Entries of the whole installation; by default the peers given and this one
    #[arg(long, env = "MASTICFIELD_ENTRY_COUNT")]
    entry_count: Option<String>,
    /// Addresses where the control replicas listen to entries, separated by commas
    #[arg(long, env = "MASTICFIELD_CONTROL", default_value = "127.0.0.1:7410")]
    control: String,
    /// File with the key that the system's processes prove to each other; two while it is rotated
    #[arg(long, env = "MASTICFIELD_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Time after which an upstream that does not announce itself again is forgotten
    #[arg(long, env = "MASTICFIELD_UPSTREAM_TTL", default_value = "15s")]
    upstream_ttl: String,
    /// Time between two renewals of the configuration lease
    #[arg(long, env = "MASTICFIELD_LEASE_RENEWAL", default_value = "1s")]
    lease_renewal: String,
}

/// Checked settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings that every program has.
    pub node: NodeSettings,
    /// The entry.
    pub entry: EntryId,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for the announcements of upstreams.
    pub upstream_listen: SocketAddr,
    /// Address for the other entries.
    pub peer_listen: SocketAddr,
    /// Address that the other entries are told, if it is another one.
    pub peer_advertise: Option<SocketAddr>,
    /// Addresses of some other entries.
    pub peers: Vec<SocketAddr>,
    /// Entries of the whole installation.
    ///
    /// The slots of an executor are shared out by a majority of them.
    pub entry_count: usize,
    /// Keys that the system's processes prove to each other.
    pub keys: Option<Keys>,
    /// Where the control replicas listen to entries.
    pub control: Vec<SocketAddr>,
    /// Time after which an upstream that does not announce itself again is forgotten.
    pub upstream_ttl: Duration,
    /// Time between two renewals of the configuration lease.
    pub lease_renewal: Duration,
}

impl EntryArgs {
    /// Checks all flags together.
    ///
    /// # Errors
    ///
    /// Fails with every mistake.
    pub fn check(&self) -> Result<EntrySettings, InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_with(&mut checker);
        checker.conclude(settings)
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
        let reachable = peer_listen.is_none_or(|address| !address.ip().is_unspecified());
        checker.relate(
            "--peer-listen",
            reachable || peer_advertise.is_some(),
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
        let ttl = Duration::from_secs(3)..=Duration::from_mins(5);
        let upstream_ttl = checker.duration("--upstream-ttl", &self.upstream_ttl, ttl);
        let renewals = Duration::from_millis(50)..=Duration::from_secs(3);
        let lease_renewal = checker.duration("--lease-renewal", &self.lease_renewal, renewals);
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
