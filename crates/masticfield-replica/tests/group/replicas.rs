//! Replicas in this process, each with a folder and a socket.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use masticfield_core::ids::ReplicaId;
use masticfield_replica::storage::SyncFn;
use masticfield_replica::{
    Applied, AppliedKind, OpenError, ReplicaHandle, ReplicaOptions, ReplicaStatus,
};
use masticfield_wire::Keys;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest wait of a test for anything.
const PATIENCE: Duration = Duration::from_mins(1);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// The application of one replica: payloads by their index.
#[derive(Debug, Default)]
struct Application {
    payloads: BTreeMap<u64, Vec<u8>>,
    snapshots: usize,
}

struct Running {
    handle: ReplicaHandle,
    application: Arc<Mutex<Application>>,
}

/// A group under test.
pub struct Replicas {
    dirs: Vec<TempDir>,
    listeners: Vec<Arc<TcpListener>>,
    addresses: Vec<SocketAddr>,
    running: Vec<Option<Running>>,
    founders: usize,
    acknowledged: BTreeMap<u64, Vec<u8>>,
    proposals: u64,
    sync: Option<SyncFn>,
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

impl Replicas {
    pub fn new(size: usize) -> Self {
        let mut group = Self {
            dirs: Vec::new(),
            listeners: Vec::new(),
            addresses: Vec::new(),
            running: Vec::new(),
            founders: size,
            acknowledged: BTreeMap::new(),
            proposals: 0,
            sync: None,
            keys: Vec::new(),
        };
        (0..size).for_each(|_| group.grow());
        group
    }

    /// Makes writes of the first replica durable by `sync`.
    pub fn with_sync(mut self, sync: SyncFn) -> Self {
        self.sync = Some(sync);
        self
    }

    /// Closes the sockets, so that each replica listens only once it starts.
    pub fn without_listeners(mut self) -> Self {
        self.listeners.clear();
        self
    }

    /// Gives each replica its keys.
    pub fn with_keys(mut self, keys: impl IntoIterator<Item = Keys>) -> Self {
        self.keys = keys.into_iter().collect();
        self
    }

    /// Gives one replica other keys from its next start on.
    pub fn with_key(mut self, at: usize, keys: Keys) -> Self {
        self.keys[at] = keys;
        self
    }

    pub async fn start_all(mut self) -> Self {
        for at in 0..self.dirs.len() {
            self.start(at).await;
        }
        self
    }

    /// Starts further replicas, which are in no group yet.
    pub async fn extend(&mut self, count: usize) {
        for _ in 0..count {
            self.grow();
            self.start(self.dirs.len() - 1).await;
        }
    }

    fn grow(&mut self) {
        self.dirs.push(tempfile::tempdir().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.addresses.push(listener.local_addr().unwrap());
        self.listeners.push(Arc::new(listener));
        self.running.push(None);
    }

    pub fn id(at: usize) -> ReplicaId {
        ReplicaId::new(at as u64 + 1)
    }

    pub async fn start(&mut self, at: usize) {
        let peers = (0..self.founders)
            .filter(|peer| *peer != at)
            .map(|peer| (Self::id(peer), self.addresses[peer]));
        let mut options = ReplicaOptions::new(Self::id(at), self.dirs[at].path()).peers(peers);
        options = match self.listeners.get(at) {
            Some(listener) => options.listener(Arc::clone(listener)),
            None => options.listen(self.addresses[at]),
        };
        if let Some(sync) = self.sync.clone().filter(|_| at == 0) {
            options = options.sync(sync);
        }
        if let Some(keys) = self.keys.get(at) {
            options = options.keys(keys.clone());
        }
        let opened = timeout(PATIENCE, open(options)).await.unwrap();
        let (handle, applied) = opened.unwrap();
        let application = Arc::new(Mutex::new(Application::default()));
        tokio::spawn(apply_all(applied, Arc::clone(&application)));
        self.running[at] = Some(Running {
            handle,
            application,
        });
    }

    /// Drops a replica, which then stops.
    pub async fn stop(&mut self, at: usize) {
        let Some(running) = self.running[at].take() else {
            return;
        };
        let mut status = running.handle.watch_status();
        drop(running);
        let ended = async { while status.changed().await.is_ok() {} };
        timeout(PATIENCE, ended).await.unwrap();
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.dirs[at] = tempfile::tempdir().unwrap();
    }

    pub fn handle(&self, at: usize) -> &ReplicaHandle {
        &self.running[at].as_ref().expect("the replica runs").handle
    }

    /// The replica that leads and holds a lease.
    pub async fn leader(&self) -> usize {
        let find = || {
            let mut running = (0..self.running.len()).filter(|at| self.running[*at].is_some());
            running.find(|at| self.handle(*at).status().holds_lease())
        };
        let search = async {
            loop {
                if let Some(at) = find() {
                    return at;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        timeout(PATIENCE, search).await.expect("a replica leads")
    }

    pub async fn wait(&self, at: usize, holds: impl Fn(&ReplicaStatus) -> bool) {
        let mut status = self.handle(at).watch_status();
        let waited = timeout(PATIENCE, status.wait_for(holds)).await;
        drop(waited.expect("the status changes"));
    }

    /// Proposes payloads until each of `count` is acknowledged.
    pub async fn propose(&mut self, count: usize) {
        let mut left = count;
        while left > 0 {
            let leader = self.handle(self.leader().await).clone();
            let batch = left.min(1_000);
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
                    left -= 1;
                }
            }
        }
    }

    pub async fn add(&self, at: usize) {
        self.change(async |leader| leader.add(Self::id(at)).await)
            .await;
    }

    pub async fn replace(&self, old: usize, new: usize) {
        self.change(async |leader| leader.replace(Self::id(old), Self::id(new)).await)
            .await;
    }

    /// Asks the leader for a change until it is made.
    async fn change<E>(&self, change: impl AsyncFn(&ReplicaHandle) -> Result<(), E>) {
        let attempts = async {
            while change(self.handle(self.leader().await)).await.is_err() {
                tokio::time::sleep(POLL).await;
            }
        };
        timeout(PATIENCE, attempts)
            .await
            .expect("the change is made");
    }

    /// Hands up the state of every running replica.
    pub fn take_snapshots(&self) {
        for running in self.running.iter().flatten() {
            let (index, state) = {
                let application = running.application.lock().unwrap();
                let index = *application.payloads.keys().next_back().unwrap();
                (index, postcard::to_stdvec(&application.payloads).unwrap())
            };
            running.handle.snapshot(index, state);
        }
    }

    /// Payloads that a replica has applied.
    pub fn applied(&self, at: usize) -> usize {
        let running = self.running[at].as_ref().unwrap();
        running.application.lock().unwrap().payloads.len()
    }

    pub fn snapshots_applied(&self, at: usize) -> usize {
        let running = self.running[at].as_ref().unwrap();
        running.application.lock().unwrap().snapshots
    }

    /// Checks that a replica comes to hold all that was acknowledged.
    pub async fn check_acknowledged(&self, at: usize) {
        let running = self.running[at].as_ref().unwrap();
        let last = self.acknowledged.keys().next_back().unwrap();
        let caught_up = async {
            loop {
                {
                    let application = running.application.lock().unwrap();
                    if application.payloads.contains_key(last) {
                        return;
                    }
                }
                tokio::time::sleep(POLL).await;
            }
        };
        timeout(PATIENCE, caught_up)
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

/// Opens a replica once the one before it has closed the folder.
async fn open(
    options: ReplicaOptions,
) -> Result<(ReplicaHandle, mpsc::Receiver<Applied>), OpenError> {
    loop {
        match ReplicaHandle::open(options.clone()).await {
            Err(OpenError::Locked { .. }) => tokio::time::sleep(POLL).await,
            opened => return opened,
        }
    }
}
