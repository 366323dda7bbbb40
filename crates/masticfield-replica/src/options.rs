//! Options of a replica.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

use masticfield_core::ids::ReplicaId;
use masticfield_wire::Keys;

use crate::consensus::Timing;
use crate::storage::{FileOps, SyncFn, WriteFn};

/// Options of a replica: its identifier, data folder, peers and timeouts.
#[derive(Clone)]
pub struct ReplicaOptions {
    id: ReplicaId,
    data_dir: PathBuf,
    listen: Option<SocketAddr>,
    listener: Option<Arc<TcpListener>>,
    peers: Vec<(ReplicaId, SocketAddr)>,
    timing: Timing,
    target_voters: Option<usize>,
    may_bootstrap: bool,
    files: FileOps,
    disk_bytes: Option<u64>,
    keys: Option<Keys>,
}

impl ReplicaOptions {
    /// Creates the options of a replica that forms a group of its own.
    pub fn new(id: ReplicaId, data_dir: impl Into<PathBuf>) -> Self {
        Self {
            id,
            data_dir: data_dir.into(),
            listen: None,
            listener: None,
            peers: Vec::new(),
            timing: Timing::default(),
            target_voters: None,
            may_bootstrap: true,
            files: FileOps::default(),
            disk_bytes: None,
            keys: None,
        }
    }

    /// Sets the address on which the replica listens to its peers; without one it does not listen.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = Some(address);
        self
    }

    /// Sets a bound socket on which to listen; it takes precedence over an address.
    #[must_use]
    pub fn listener(mut self, listener: impl Into<Arc<TcpListener>>) -> Self {
        self.listener = Some(listener.into());
        self
    }

    /// Sets the other replicas of the group.
    ///
    /// A new group is formed once all of them have made contact and hold no state. A replica that
    /// joins an existing group names replicas that are in it.
    #[must_use]
    pub fn peers(mut self, peers: impl IntoIterator<Item = (ReplicaId, SocketAddr)>) -> Self {
        self.peers = peers.into_iter().collect();
        self
    }

    /// Sets the timeouts by which failures are detected.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Lets a leader add and remove members automatically, towards this number of voters.
    ///
    /// By default, members change only through [`ReplicaHandle`](crate::ReplicaHandle).
    #[must_use]
    pub const fn target_voters(mut self, voters: usize) -> Self {
        self.target_voters = Some(voters);
        self
    }

    /// Sets whether a replica without state may form a new group; the default is `true`.
    ///
    /// Must be `false` for a replica that joins a group or returns without its disk, as it could
    /// otherwise form a second group.
    #[must_use]
    pub const fn may_bootstrap(mut self, allowed: bool) -> Self {
        self.may_bootstrap = allowed;
        self
    }

    /// Sets the keys by which replicas authenticate each other.
    ///
    /// Without keys, any process that reaches the address can vote and read the log.
    #[must_use]
    pub fn keys(mut self, keys: Keys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets how writes are made durable, so that tests can let the disk fail.
    #[must_use]
    pub fn sync(mut self, sync: SyncFn) -> Self {
        self.files = self.files.with_sync(sync);
        self
    }

    /// Sets how files are written, so that tests can let the disk be full.
    #[must_use]
    pub fn write(mut self, write: WriteFn) -> Self {
        self.files = self.files.with_write(write);
        self
    }

    /// Sets the size of the disk in bytes, so that the replica asks for snapshots before it is full.
    ///
    /// See [`ReplicaStatus::needs_compaction`](crate::ReplicaStatus::needs_compaction).
    #[must_use]
    pub const fn disk_bytes(mut self, bytes: u64) -> Self {
        self.disk_bytes = Some(bytes);
        self
    }

    /// Identifier of the replica.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Folder of the durable state.
    pub const fn data_dir(&self) -> &PathBuf {
        &self.data_dir
    }

    /// Address set by [`listen`](Self::listen).
    pub const fn listen_address(&self) -> Option<SocketAddr> {
        self.listen
    }

    /// Replicas set by [`peers`](Self::peers).
    pub fn peer_addresses(&self) -> &[(ReplicaId, SocketAddr)] {
        &self.peers
    }

    pub(crate) const fn target_voter_count(&self) -> Option<usize> {
        self.target_voters
    }

    pub(crate) const fn is_bootstrap_allowed(&self) -> bool {
        self.may_bootstrap
    }

    pub(crate) const fn consensus_timing(&self) -> Timing {
        self.timing
    }

    pub(crate) fn peer_keys(&self) -> Option<Keys> {
        self.keys.clone()
    }

    pub(crate) fn file_ops(&self) -> FileOps {
        self.files.clone()
    }

    pub(crate) const fn disk_size(&self) -> Option<u64> {
        self.disk_bytes
    }

    pub(crate) fn bound_listener(&self) -> Option<&TcpListener> {
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
