//! Flags and settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;
use masticfield_core::ids::ReplicaId;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_node::token::Token;
use masticfield_wire::Keys;
use snafu::{OptionExt, Snafu};

/// Control process: a replica of the durable state; the leader plans the fleet
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield-control", version)]
pub struct ControlArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Number of this replica, unique in its group
    #[arg(long, env = "MASTICFIELD_REPLICA", default_value = "1")]
    replica: String,
    /// Folder of the durable state
    #[arg(long, env = "MASTICFIELD_DATA_DIR")]
    data_dir: Option<PathBuf>,
    /// Listen address for the other replicas; without it this replica forms a group of one
    #[arg(long, env = "MASTICFIELD_REPLICA_LISTEN")]
    replica_listen: Option<String>,
    /// The other replicas, as NUMBER=ADDRESS separated by commas
    #[arg(long, env = "MASTICFIELD_PEERS", default_value = "")]
    peers: String,
    /// Listen address for entries
    #[arg(
        long,
        env = "MASTICFIELD_ENTRY_LISTEN",
        default_value = "127.0.0.1:7410"
    )]
    entry_listen: String,
    /// Listen address for operators
    #[arg(
        long,
        env = "MASTICFIELD_OPERATOR_LISTEN",
        default_value = "127.0.0.1:7411"
    )]
    operator_listen: String,
    /// File with the token that operators must present
    #[arg(long, env = "MASTICFIELD_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Address of the platform; without it the fleet is not planned
    #[arg(long, env = "MASTICFIELD_PLATFORM")]
    platform: Option<String>,
    /// File with the key by which the system's processes authenticate to each other; with two keys
    /// during a rotation
    #[arg(long, env = "MASTICFIELD_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Check the data folder, print its contents and whether it is sound, and exit
    #[arg(long, env = "MASTICFIELD_CHECK", requires = "data_dir")]
    check: bool,
    /// How long an entry may serve a configuration without a renewal
    #[arg(long, env = "MASTICFIELD_CONFIG_LEASE", default_value = "6s")]
    config_lease: String,
}

/// Validated settings of a control process.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Settings that all programs share.
    pub node: NodeSettings,
    /// Number of this replica, unique in its group.
    pub replica: ReplicaId,
    /// Folder of the durable state; it is created if it is missing.
    pub data_dir: PathBuf,
    /// Listen address for the other replicas; none in a group of one.
    pub replica_listen: Option<SocketAddr>,
    /// The other replicas of the group and their addresses.
    pub peers: Vec<(ReplicaId, SocketAddr)>,
    /// Listen address for entries.
    pub entry_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_listen: SocketAddr,
    /// Token that operators must present.
    pub token: Token,
    /// Address of the platform; without it the fleet is not planned.
    pub platform: Option<SocketAddr>,
    /// Keys by which the system's processes authenticate to each other; without them connections
    /// are not authenticated.
    pub keys: Option<Keys>,
    /// How long an entry may serve a configuration without a renewal, from 1 s to 10 s.
    pub config_lease: Duration,
}

impl ControlArgs {
    /// The data folder, if the process only checks it.
    pub(crate) fn folder_to_check(&self) -> Option<&Path> {
        self.data_dir.as_deref().filter(|_| self.check)
    }

    /// Validates all flags.
    ///
    /// # Errors
    ///
    /// Fails if any flag is invalid or missing; the error lists all of them.
    pub fn check(&self) -> Result<ControlSettings, InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_with(&mut checker);
        checker.finish_with(settings)
    }

    fn check_with(&self, checker: &mut Checker) -> Option<ControlSettings> {
        let node = self.node.check(checker);
        let replica = checker.parse("--replica", &self.replica);
        let data_dir = checker.require("--data-dir", self.data_dir.clone());
        let replica_listen = self.replica_listen.as_ref();
        let replica_listen =
            replica_listen.and_then(|text| checker.parse("--replica-listen", text));
        let peers: Vec<Peer> = checker.parse_list("--peers", &self.peers);
        let entry_listen = checker.parse("--entry-listen", &self.entry_listen);
        let operator_listen = checker.parse("--operator-listen", &self.operator_listen);
        let token = checker.require("--token-file", self.token_file.as_ref());
        let token = token.and_then(|path| checker.load("--token-file", path, Token::read));
        let platform = self.platform.as_ref();
        let platform = platform.and_then(|text| checker.parse("--platform", text));
        let keys = self.key_file.as_ref();
        let keys = keys.and_then(|path| checker.load("--key-file", path, Keys::read));
        let lease_range = Duration::from_secs(1)..=Duration::from_secs(10);
        let config_lease = checker.duration("--config-lease", &self.config_lease, lease_range);
        Some(ControlSettings {
            node: node?,
            replica: replica?,
            data_dir: data_dir?,
            replica_listen,
            peers: peers.iter().map(|peer| (peer.id, peer.address)).collect(),
            entry_listen: entry_listen?,
            operator_listen: operator_listen?,
            token: token?,
            keys,
            platform,
            config_lease: config_lease?,
        })
    }
}

/// Another replica, written as `NUMBER=ADDRESS:PORT` in the settings.
#[derive(Debug, Clone, Copy)]
struct Peer {
    id: ReplicaId,
    address: SocketAddr,
}

/// The text does not have the form of a [`Peer`].
#[derive(Debug, Snafu)]
#[snafu(display("a replica has the form NUMBER=ADDRESS:PORT"))]
struct ParsePeerError;

impl FromStr for Peer {
    type Err = ParsePeerError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, address) = text.split_once('=').context(ParsePeerSnafu)?;
        let id = id.trim().parse().ok().context(ParsePeerSnafu)?;
        let address = address.trim().parse().ok().context(ParsePeerSnafu)?;
        Ok(Self { id, address })
    }
}
