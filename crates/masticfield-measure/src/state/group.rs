//! Group of three replicas that communicate over loopback.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::ReplicaId;
use masticfield_replica::{OpenError, ReplicaOptions};
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::time::timeout;

use super::error::{IoSnafu, OpenSnafu, StateError, TimeoutSnafu};
use super::node::Node;

/// Number of replicas in the group.
pub(super) const SIZE: usize = 3;

/// Time limit for an election, and for a replica to catch up.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Replicas with their data directories and listeners, identified by index.
#[derive(Debug)]
pub(super) struct Group {
    dirs: Vec<TempDir>,
    listeners: Vec<Arc<TcpListener>>,
    nodes: watch::Sender<Vec<Option<Node>>>,
}

impl Group {
    /// Starts a group with empty data directories.
    pub(super) async fn start() -> Result<Self, StateError> {
        let (mut dirs, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..SIZE {
            dirs.push(tempfile::tempdir().context(IoSnafu)?);
            let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu)?;
            listeners.push(Arc::new(listener));
        }
        let (nodes, _) = watch::channel(vec![None; SIZE]);
        let group = Self {
            dirs,
            listeners,
            nodes,
        };
        group.open_all().await?;
        Ok(group)
    }

    /// Starts every replica and waits for a leader.
    pub(super) async fn open_all(&self) -> Result<(), StateError> {
        for replica in 0..SIZE {
            self.open(replica).await?;
        }
        self.leader().await.map(drop)
    }

    /// Starts a replica.
    pub(super) async fn open(&self, replica: usize) -> Result<(), StateError> {
        let id = |replica: usize| ReplicaId::new(replica as u64 + 1);
        let mut peers = Vec::new();
        for peer in (0..SIZE).filter(|peer| *peer != replica) {
            let address = self.listeners[peer].local_addr().context(IoSnafu)?;
            peers.push((id(peer), address));
        }
        let options = ReplicaOptions::new(id(replica), self.dirs[replica].path())
            .listener(Arc::clone(&self.listeners[replica]))
            .peers(peers);
        let node = open_unlocked(options).await.context(OpenSnafu)?;
        self.nodes.send_modify(|nodes| nodes[replica] = Some(node));
        Ok(())
    }

    /// Stops a replica without notice to the others, and waits until it has stopped.
    pub(super) async fn kill(&self, replica: usize) {
        let mut killed = None;
        self.nodes
            .send_modify(|nodes| killed = nodes[replica].take());
        let Some(node) = killed else { return };
        let mut status = node.handle().watch_status();
        drop(node);
        while status.changed().await.is_ok() {}
    }

    /// All running replicas.
    pub(super) fn nodes(&self) -> Vec<Node> {
        self.nodes.borrow().iter().flatten().cloned().collect()
    }

    /// Watches which replicas run.
    pub(super) fn watch_nodes(&self) -> watch::Receiver<Vec<Option<Node>>> {
        self.nodes.subscribe()
    }

    /// Waits for a leader that holds a lease.
    pub(super) async fn leader(&self) -> Result<(usize, Node), StateError> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            let nodes = self.nodes.borrow().clone();
            let mut running = nodes.into_iter().enumerate();
            let leader = running.find_map(|(replica, node)| {
                node.filter(|node| node.handle().status().holds_lease())
                    .map(|node| (replica, node))
            });
            if let Some(leader) = leader {
                return Ok(leader);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        TimeoutSnafu {
            awaited: "elect a leader",
        }
        .fail()
    }

    /// Waits until every running replica has applied the entry at `index`.
    pub(super) async fn wait_applied(&self, index: u64) -> Result<(), StateError> {
        for node in self.nodes() {
            let waited = timeout(WAIT_TIMEOUT, node.wait_applied(index)).await;
            if waited.is_err() {
                return TimeoutSnafu {
                    awaited: "catch up",
                }
                .fail();
            }
        }
        Ok(())
    }
}

/// Opens a replica as soon as its predecessor has released the data directory.
async fn open_unlocked(options: ReplicaOptions) -> Result<Node, OpenError> {
    loop {
        match Node::open(options.clone()).await {
            Err(OpenError::Locked { .. }) => tokio::time::sleep(POLL_INTERVAL).await,
            opened => return opened,
        }
    }
}
