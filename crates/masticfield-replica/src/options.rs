//! Options of a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use masticfield_core::ids::ReplicaId;

/// Who a replica is, where it stores its state, and who its peers are.
#[derive(Debug, Clone)]
pub struct ReplicaOptions {
    id: ReplicaId,
    data_dir: PathBuf,
    listen: Option<SocketAddr>,
    peers: Vec<(ReplicaId, SocketAddr)>,
}

impl ReplicaOptions {
    /// Creates the options of a group of one replica.
    pub fn new(id: ReplicaId, data_dir: impl Into<PathBuf>) -> Self {
        Self {
            id,
            data_dir: data_dir.into(),
            listen: None,
            peers: Vec::new(),
        }
    }

    /// Sets where the replica listens to its peers.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = Some(address);
        self
    }

    /// Sets the other replicas of the group.
    #[must_use]
    pub fn peers(mut self, peers: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        self.peers = peers.into_iter().collect();
        self
    }

    /// The replica itself.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Folder of the durable state.
    pub const fn data_dir(&self) -> &PathBuf {
        &self.data_dir
    }

    /// Where it listens to its peers.
    pub const fn listen_address(&self) -> Option<SocketAddr> {
        self.listen
    }

    /// The other replicas.
    pub fn peer_addresses(&self) -> &[(ReplicaId, SocketAddr)] {
        &self.peers
    }
}
