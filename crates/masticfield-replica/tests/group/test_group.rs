//! A group of replicas in one process, each with its own data folder and socket.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use masticfield_core::ids::ReplicaId;
use masticfield_replica::consensus::MembershipChangeError;
use masticfield_replica::storage::SyncFn;
use masticfield_replica::{
    Applied, AppliedKind, OpenError, ProposeError, ReplicaHandle, ReplicaOptions, ReplicaStatus,
};
use masticfield_wire::Keys;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::test_disk::TestDisk;

/// Timeout for each wait in a test.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Application of one replica, which keeps the payloads by their index.
#[derive(Debug, Default)]
struct Application {
    payloads: BTreeMap<u64, Vec<u8>>,
    /// Number of snapshots applied.
    snapshots: usize,
}

struct RunningReplica {
    handle: ReplicaHandle,
    application: Arc<Mutex<Application>>,
}

/// A group under test. Replicas are selected by their position, from 0.
pub struct TestGroup {
    dirs: Vec<TempDir>,
    listeners: Vec<Arc<TcpListener>>,
    addresses: Vec<SocketAddr>,
    running: Vec<Option<RunningReplica>>,
    /// Number of replicas that form the group.
    initial_size: usize,
    /// Acknowledged payloads by their index.
    acknowledged: BTreeMap<u64, Vec<u8>>,
    proposals: u64,
    sync: Option<SyncFn>,
    /// Disks by replica; replicas beyond have disks that never are full.
    disks: Vec<TestDisk>,
    keys: Vec<Keys>,
}

impl Application {
    fn apply(&mut self, applied: &Applied) {
        match applied.kind {
            AppliedKind::Payload => {
                let last = self.payloads.keys().next_back();
                assert!(
                    last.is_none_or(|last| *last < applied.index),
                    "applied in order"
                );
                self.payloads
                    .insert(applied.index, applied.payload.to_vec());
            }
            AppliedKind::Snapshot => {
                self.payloads = postcard::from_bytes(&applied.payload).unwrap();
                self.snapshots += 1;
            }
        }
    }
}

impl TestGroup {
    pub fn new(size: usize) -> Self {
        let mut group = Self {
            dirs: Vec::new(),
            listeners: Vec::new(),
            addresses: Vec::new(),
            running: Vec::new(),
            initial_size: size,
            acknowledged: BTreeMap::new(),
            proposals: 0,
            sync: None,
            disks: Vec::new(),
            keys: Vec::new(),
        };
        (0..size).for_each(|_| group.add_slot());
        group
    }

    /// Makes the writes of the first replica durable by `sync`.
    pub fn with_sync(mut self, sync: SyncFn) -> Self {
        self.sync = Some(sync);
        self
    }

    /// Gives every replica a disk that can be full.
    pub fn with_disks(mut self, disks: &[TestDisk]) -> Self {
        self.disks = disks.to_vec();
        self
    }

    /// Closes the sockets, so that a replica listens only from its start on.
    pub fn without_listeners(mut self) -> Self {
        self.listeners.clear();
        self
    }

    /// Sets the keys of all replicas, in order.
    pub fn with_keys(mut self, keys: impl IntoIterator<Item = Keys>) -> Self {
        self.keys = keys.into_iter().collect();
        self
    }

    /// Sets the keys of one replica, from its next start on.
    pub fn with_key(mut self, index: usize, keys: Keys) -> Self {
        self.keys[index] = keys;
        self
    }

    pub async fn start_all(mut self) -> Self {
        for index in 0..self.dirs.len() {
            self.start(index).await;
        }
        self
    }

    /// Starts further replicas, which are not in the group yet.
    pub async fn extend(&mut self, count: usize) {
        for _ in 0..count {
            self.add_slot();
            self.start(self.dirs.len() - 1).await;
        }
    }

    /// Adds a data folder and a socket for a replica that is not started yet.
    fn add_slot(&mut self) {
        self.dirs.push(tempfile::tempdir().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.addresses.push(listener.local_addr().unwrap());
        self.listeners.push(Arc::new(listener));
        self.running.push(None);
    }

    pub fn id(index: usize) -> ReplicaId {
        ReplicaId::new(index as u64 + 1)
    }

    pub async fn start(&mut self, index: usize) {
        let peers = (0..self.initial_size)
            .filter(|peer| *peer != index)
            .map(|peer| (Self::id(peer), self.addresses[peer]));
        let mut options =
            ReplicaOptions::new(Self::id(index), self.dirs[index].path()).peers(peers);
        options = match self.listeners.get(index) {
            Some(listener) => options.listener(Arc::clone(listener)),
            None => options.listen(self.addresses[index]),
        };
        if let Some(sync) = self.sync.clone().filter(|_| index == 0) {
            options = options.sync(sync);
        }
        if let Some(disk) = self.disks.get(index) {
            options = options.write(disk.write_fn());
        }
        if let Some(keys) = self.keys.get(index) {
            options = options.keys(keys.clone());
        }
        let opened = timeout(TEST_TIMEOUT, open(options)).await.unwrap();
        let (handle, applied) = opened.unwrap();
        let application = Arc::new(Mutex::new(Application::default()));
        tokio::spawn(apply_all(applied, Arc::clone(&application)));
        self.running[index] = Some(RunningReplica {
            handle,
            application,
        });
    }

    /// Drops the handle of a replica and waits until the replica has stopped.
    pub async fn stop(&mut self, index: usize) {
        let Some(running) = self.running[index].take() else {
            return;
        };
        let mut status = running.handle.watch_status();
        drop(running);
        let stopped = async { while status.changed().await.is_ok() {} };
        timeout(TEST_TIMEOUT, stopped).await.unwrap();
    }

    pub fn lose_disk(&mut self, index: usize) {
        self.dirs[index] = tempfile::tempdir().unwrap();
    }

    pub fn handle(&self, index: usize) -> &ReplicaHandle {
        &self.running[index]
            .as_ref()
            .expect("the replica is running")
            .handle
    }

    /// Waits for a replica that leads and holds a lease.
    pub async fn leader(&self) -> usize {
        let find = || {
            let mut running =
                (0..self.running.len()).filter(|index| self.running[*index].is_some());
            running.find(|index| self.handle(*index).status().holds_lease())
        };
        let search = async {
            loop {
                if let Some(index) = find() {
                    return index;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, search)
            .await
            .expect("a replica leads")
    }

    /// Proposes one payload to a replica, and keeps it if it is acknowledged.
    pub async fn propose_once(&mut self, index: usize) -> (Vec<u8>, Result<u64, ProposeError>) {
        self.proposals += 1;
        let payload = self.proposals.to_le_bytes().to_vec();
        let proposed = self.handle(index).propose(payload.clone());
        let result = timeout(TEST_TIMEOUT, proposed).await.unwrap();
        if let Ok(index) = result {
            self.acknowledged.insert(index, payload.clone());
        }
        (payload, result)
    }

    /// Whether the application of a replica holds a payload.
    pub fn has_applied(&self, index: usize, payload: &[u8]) -> bool {
        let running = self.running[index].as_ref().unwrap();
        let application = running.application.lock().unwrap();
        application
            .payloads
            .values()
            .any(|applied| applied == payload)
    }

    /// Waits until the status of a replica satisfies a condition.
    pub async fn wait(&self, index: usize, condition: impl Fn(&ReplicaStatus) -> bool) {
        let mut status = self.handle(index).watch_status();
        let waited = timeout(TEST_TIMEOUT, status.wait_for(condition)).await;
        drop(waited.expect("the status satisfies the condition"));
    }

    /// Proposes payloads until `count` of them are acknowledged.
    pub async fn propose(&mut self, count: usize) {
        let mut remaining = count;
        while remaining > 0 {
            let leader = self.handle(self.leader().await).clone();
            let batch = remaining.min(1_000);
            let mut tasks = Vec::new();
            for _ in 0..batch {
                self.proposals += 1;
                let payload = self.proposals.to_le_bytes().to_vec();
                let leader = leader.clone();
                tasks.push(tokio::spawn(async move {
                    let index = leader.propose(payload.clone()).await;
                    index.map(|index| (index, payload))
                }));
            }
            for task in tasks {
                if let Ok((index, payload)) = task.await.unwrap() {
                    self.acknowledged.insert(index, payload);
                    remaining -= 1;
                }
            }
        }
    }

    pub async fn add(&mut self, index: usize) {
        let change = async |leader: &ReplicaHandle| leader.add(Self::id(index)).await;
        self.change(index, None, change).await;
    }

    pub async fn replace(&mut self, old: usize, new: usize) {
        let (old_id, new_id) = (Self::id(old), Self::id(new));
        let removed = Some(old_id).filter(|id| *id != new_id);
        let change = async |leader: &ReplicaHandle| leader.replace(old_id, new_id).await;
        self.change(new, removed, change).await;
    }

    /// Requests a membership change from the leader until it succeeds, or is refused since it has
    /// been made already.
    async fn change(
        &mut self,
        added: usize,
        removed: Option<ReplicaId>,
        change: impl AsyncFn(&ReplicaHandle) -> Result<(), MembershipChangeError>,
    ) {
        let attempts = async {
            loop {
                let result = change(self.handle(self.leader().await)).await;
                // A change whose outcome was not known may have been made; repeating it is refused.
                let refused = result == Err(MembershipChangeError::NotApplicable);
                if result.is_ok() || refused && self.has_changed(added, removed).await {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, attempts)
            .await
            .expect("the change succeeds");
    }

    /// Whether it is committed that the running replica `added` is a voter and that `removed` is
    /// not a member.
    async fn has_changed(&mut self, added: usize, removed: Option<ReplicaId>) -> bool {
        let leader = self.handle(self.leader().await).clone();
        if !self.is_changed_at(&leader, added, removed) {
            return false;
        }
        // The leader's members may not be committed yet, but are once a later payload is.
        self.proposals += 1;
        let payload = self.proposals.to_le_bytes().to_vec();
        let Ok(index) = leader.propose(payload.clone()).await else {
            return false;
        };
        self.acknowledged.insert(index, payload);
        self.is_changed_at(&leader, added, removed)
    }

    fn is_changed_at(
        &self,
        leader: &ReplicaHandle,
        added: usize,
        removed: Option<ReplicaId>,
    ) -> bool {
        let (id, members) = (Self::id(added), leader.members());
        let voter = members.voters().find(|voter| voter.id() == id);
        // The replica that lost its disk has the same identifier, but another incarnation.
        let added = self.handle(added);
        let is_added =
            voter.is_some() && added.status().is_voter && added.members().find(id) == voter;
        is_added && removed.is_none_or(|id| members.find(id).is_none())
    }

    /// Stores a snapshot of the application in every running replica that has applied a payload.
    pub fn take_snapshots(&self) {
        for running in self.running.iter().flatten() {
            let (index, state) = {
                let application = running.application.lock().unwrap();
                let Some(index) = application.payloads.keys().next_back().copied() else {
                    continue;
                };
                (index, postcard::to_stdvec(&application.payloads).unwrap())
            };
            running.handle.snapshot(index, state);
        }
    }

    /// Number of payloads that the application of a replica holds.
    pub fn applied(&self, index: usize) -> usize {
        let running = self.running[index].as_ref().unwrap();
        running.application.lock().unwrap().payloads.len()
    }

    pub fn snapshots_applied(&self, index: usize) -> usize {
        let running = self.running[index].as_ref().unwrap();
        running.application.lock().unwrap().snapshots
    }

    /// Waits until a replica has caught up, and checks that it holds all acknowledged payloads.
    pub async fn check_acknowledged(&self, index: usize) {
        let running = self.running[index].as_ref().unwrap();
        let last = self.acknowledged.keys().next_back().unwrap();
        let caught_up = async {
            loop {
                {
                    let application = running.application.lock().unwrap();
                    if application.payloads.contains_key(last) {
                        return;
                    }
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, caught_up)
            .await
            .expect("the replica catches up");
        let application = running.application.lock().unwrap();
        for (index, payload) in &self.acknowledged {
            assert_eq!(
                application.payloads.get(index),
                Some(payload),
                "index {index}"
            );
        }
    }
}

async fn apply_all(mut applied: mpsc::Receiver<Applied>, application: Arc<Mutex<Application>>) {
    while let Some(applied) = applied.recv().await {
        application.lock().unwrap().apply(&applied);
    }
}

/// Opens a replica once the previous one has closed the data folder.
async fn open(
    options: ReplicaOptions,
) -> Result<(ReplicaHandle, mpsc::Receiver<Applied>), OpenError> {
    loop {
        match ReplicaHandle::open(options.clone()).await {
            Err(OpenError::Locked { .. }) => tokio::time::sleep(POLL_INTERVAL).await,
            opened => return opened,
        }
    }
}
