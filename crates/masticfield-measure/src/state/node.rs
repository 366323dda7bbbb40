//! Replica that applies commands to the state of the control process.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_replica::{
    Applied, AppliedKind, OpenError, ProposeError, ReplicaHandle, ReplicaOptions, ReplicaStatus,
};
use masticfield_state::{Envelope, Reply, State};
use tokio::sync::{mpsc, oneshot, watch};

/// Time limit for the reply to a committed command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Running replica together with the state that it has applied.
#[derive(Debug, Clone)]
pub(super) struct Node {
    handle: ReplicaHandle,
    application: Arc<std::sync::Mutex<Application>>,
    applied: watch::Receiver<u64>,
}

#[derive(Debug, Default)]
struct Application {
    state: State,
    replies: HashMap<u64, Reply>,
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
}

impl Node {
    /// Opens a replica.
    pub(super) async fn open(options: ReplicaOptions) -> Result<Self, OpenError> {
        let (handle, rx) = ReplicaHandle::open(options).await?;
        let application = Arc::default();
        let (tx, applied) = watch::channel(0);
        let status = handle.watch_status();
        tokio::spawn(apply_all(rx, Arc::clone(&application), tx, status));
        Ok(Self {
            handle,
            application,
            applied,
        })
    }

    /// Handle of the replica.
    pub(super) const fn handle(&self) -> &ReplicaHandle {
        &self.handle
    }

    /// Index of the last entry applied.
    pub(super) fn applied(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Waits until the entry at `index` is applied.
    pub(super) async fn wait_applied(&self, index: u64) {
        let mut applied = self.applied.clone();
        // An error means that the replica has stopped; the caller limits the wait for a stalled one.
        drop(applied.wait_for(|applied| *applied >= index).await);
    }

    /// Version of the configuration; `None` if this replica must not answer reads.
    pub(super) fn read_version(&self) -> Option<u64> {
        let status = self.handle.status();
        let complete = self.applied() >= status.committed;
        let version = self.with_state(|state| state.config().version());
        (complete && status.holds_lease()).then_some(version)
    }

    /// Passes a snapshot of the state to the replica, which can then compact its log.
    pub(super) fn snapshot(&self) {
        let (index, state) = self.with_state(|state| (state.applied(), state.to_snapshot()));
        let state = state.expect("the state holds only plain values");
        self.handle.snapshot(index, state);
    }

    /// Calls `read` with the state.
    pub(super) fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock().state)
    }

    /// Proposes a command and waits for its reply.
    pub(super) async fn propose(&self, envelope: &Envelope) -> Result<Reply, ProposeError> {
        let payload = envelope.encode().expect("commands hold only plain values");
        let index = self.handle.propose(payload).await?;
        let (tx, rx) = oneshot::channel();
        {
            let mut application = self.lock();
            if let Some(reply) = application.replies.remove(&index) {
                return Ok(reply);
            }
            application.waiting.insert(index, tx);
        }
        let reply = tokio::time::timeout(REPLY_TIMEOUT, rx).await;
        reply
            .ok()
            .and_then(Result::ok)
            .ok_or(ProposeError::Undecided)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Application> {
        self.application.lock().expect("no panic under the lock")
    }
}

/// Applies committed entries until the replica stops.
async fn apply_all(
    mut rx: mpsc::Receiver<Applied>,
    application: Arc<std::sync::Mutex<Application>>,
    tx: watch::Sender<u64>,
    status: watch::Receiver<ReplicaStatus>,
) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, 1_024).await > 0 {
        // Only the leader has writers that wait for replies.
        let leads = status.borrow().lease_until.is_some();
        let mut application = application.lock().expect("no panic under the lock");
        for applied in batch.drain(..) {
            application.apply(&applied, leads);
            tx.send_replace(applied.index);
        }
    }
}

impl Application {
    fn apply(&mut self, applied: &Applied, leads: bool) {
        let index = applied.index;
        match applied.kind {
            AppliedKind::Snapshot => {
                self.state = State::from_snapshot(&applied.payload)
                    .expect("snapshots are encoded by this program");
            }
            AppliedKind::Payload => {
                let envelope = Envelope::decode(&applied.payload)
                    .expect("commands are encoded by this program");
                let reply = self.state.apply(index, &envelope);
                match self.waiting.remove(&index) {
                    // The send fails if the writer no longer waits.
                    Some(tx) => drop(tx.send(reply)),
                    None if leads => drop(self.replies.insert(index, reply)),
                    None => {}
                }
            }
        }
    }
}
