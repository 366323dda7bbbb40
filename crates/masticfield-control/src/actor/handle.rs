//! The handle that the other parts of the process use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use masticfield_core::ids::ReplicaId;
use masticfield_replica::{ProposeError, ReplicaHandle, ReplicaStatus};
use masticfield_state::{Command, Envelope, Reply, State};
use snafu::{ResultExt, Snafu};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use super::ControlActor;
use super::control_actor::{Expect, Forget, ProposalId, Proposed, Query};

/// Proposes commands and reads the state.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    replica: ReplicaHandle,
    actor: Address<ControlActor>,
    version: watch::Receiver<u64>,
    process: u64,
    next: Arc<AtomicU64>,
}

/// A command was not carried out, as far as is known.
#[derive(Debug, Snafu)]
pub enum ProposalError {
    /// The replica did not commit it.
    #[snafu(display("the command was not committed"))]
    Propose {
        /// The cause.
        source: ProposeError,
    },
    /// The command cannot be written.
    #[snafu(display("the command cannot be written"))]
    Encode {
        /// The cause.
        source: postcard::Error,
    },
    /// The process stops.
    #[snafu(display("the control process is stopping"))]
    Stopping,
}

impl ControlHandle {
    pub(crate) fn new(
        replica: ReplicaHandle,
        actor: Address<ControlActor>,
        version: watch::Receiver<u64>,
    ) -> Self {
        let process = rand::random();
        Self {
            replica,
            actor,
            version,
            process,
            next: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Proposes a command and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or cannot tell the outcome.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposalError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = ProposalId {
            process: self.process,
            number,
        };
        let proposed = Proposed {
            id,
            envelope: Envelope::new(now_ms(), command),
        };
        let payload = postcard::to_stdvec(&proposed).context(EncodeSnafu)?;
        let (reply, replied) = oneshot::channel();
        self.actor
            .send(Expect { id, reply })
            .await
            .ok()
            .ok_or(ProposalError::Stopping)?;
        if let Err(source) = self.replica.propose(payload).await {
            self.actor
                .send(Forget(id))
                .await
                .ok()
                .ok_or(ProposalError::Stopping)?;
            return Err(ProposalError::Propose { source });
        }
        replied.await.map_err(|_dropped| ProposalError::Stopping)
    }

    /// Reads the state as this replica has applied it.
    ///
    /// # Errors
    ///
    /// Fails if the process stops.
    pub async fn query<R: Send + 'static>(
        &self,
        read: impl FnOnce(&State) -> R + Send + 'static,
    ) -> Result<R, ProposalError> {
        self.actor
            .send(Query(read))
            .await
            .ok()
            .ok_or(ProposalError::Stopping)
    }

    /// Number of the latest accepted note, and its changes.
    pub fn version(&self) -> watch::Receiver<u64> {
        self.version.clone()
    }

    /// What the replica knows of its group.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        let status = self.replica.status();
        status.leader == Some(status.id)
    }

    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.replica.status().id
    }
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
