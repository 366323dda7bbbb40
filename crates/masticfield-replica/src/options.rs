//! Options of a replica.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

use masticfield_core::ids::ReplicaId;
use masticfield_wire::Keys;

use crate::consensus::Timing;
use crate::storage::SyncFn;

/// Who a replica is, where it stores its state, and who its peers are.
#[derive(Clone)]
pub struct ReplicaOptions {
    id: ReplicaId,
    data_dir: PathBuf,
    listen: Option<SocketAddr>,
    listener: Option<Arc<TcpListener>>,
    peers: Vec<(ReplicaId, SocketAddr)>,
    timing: Timing,
    voters: Option<usize>,
    may_bootstrap: bool,
    sync: Option<SyncFn>,
    keys: Option<Keys>,
}

impl ReplicaOptions {
    /// Creates the options of a group of one replica.
    pub fn new(id: ReplicaId, data_dir: impl Into<PathBuf>) -> Self {
        Self {
            id,
            data_dir: data_dir.into(),
            listen: None,
            listener: None,
            peers: Vec::new(),
            timing: Timing::default(),
            voters: None,
            may_bootstrap: true,
            sync: None,
            keys: None,
        }
    }

    /// Sets where the replica listens to its peers.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = Some(address);
        self
    }

    /// Sets a socket that listens already, in place of an address.
    #[must_use]
    pub fn listener(mut self, listener: impl Into<Arc<TcpListener>>) -> Self {
        self.listener = Some(listener.into());
        self
    }

    /// Sets the other replicas of the group.
    ///
    /// A new group forms once each of them has been heard and holds no state. A replica that
    /// joins a group names the replicas that are in it.
    #[must_use]
    pub fn peers(mut self, peers: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        self.peers = peers.into_iter().collect();
        self
    }

    /// Sets the periods by which failures are noticed.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Lets a leader add and remove members by itself, towards this number of voters.
    #[must_use]
    pub const fn target_voters(mut self, voters: usize) -> Self {
        self.voters = Some(voters);
        self
    }

    /// Sets whether a replica without state may form a new group.
    ///
    /// One that joins a group, or comes back without its disk, must not.
    #[must_use]
    pub const fn may_bootstrap(mut self, allowed: bool) -> Self {
        self.may_bootstrap = allowed;
        self
    }

    /// Sets the keys that replicas prove to each other.
    ///
    /// Without keys, whoever reaches the address can vote and read.
    #[must_use]
    pub fn keys(mut self, keys: Keys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets how writes are made durable, for tests of a failing disk.
    #[must_use]
    pub fn sync(mut self, sync: SyncFn) -> Self {
        self.sync = Some(sync);
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

    pub(crate) const fn voters(&self) -> Option<usize> {
        self.voters
    }

    pub(crate) const fn is_bootstrap_allowed(&self) -> bool {
        self.may_bootstrap
    }

    pub(crate) const fn periods(&self) -> Timing {
        self.timing
    }

    pub(crate) fn handshake_keys(&self) -> Option<Keys> {
        self.keys.clone()
    }

    pub(crate) fn sync_fn(&self) -> Option<SyncFn> {
        self.sync.clone()
    }

    pub(crate) fn listening(&self) -> Option<&TcpListener> {
        self.listener.as_deref()
    }
}

impl std::fmt::Debug for ReplicaOptions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReplicaOptions")
            .field("id", &self.id)
            .field("data_dir", &self.data_dir)
            .field("listen", &self.listen)
            .field("peers", &self.peers)
            .field("timing", &self.timing)
            .finish_non_exhaustive()
    }
}
