//! The handle that the other parts of the process use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticfield_core::ids::ReplicaId;
use masticfield_node::clock::epoch_ms;
use masticfield_replica::{ProposeError, ReplicaHandle, ReplicaStatus};
use masticfield_state::{Command, Envelope, LeaderAddresses, Reply, State};
use snafu::{ResultExt, Snafu};
use tokio::sync::{oneshot, watch};
use xtra::Address;

use super::ControlActor;
use super::control_actor::{Expect, Forget, ProposalId, Proposed, Query};

/// Time for which a proposer waits for a command to be decided.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an operator's request waits for a leader to be elected.
const ELECTION_WAIT: Duration = Duration::from_secs(2);

/// Proposes commands and reads the state.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    replica: Arc<ReplicaHandle>,
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
    /// It was proposed, and is neither committed nor lost within the time that callers wait.
    #[snafu(display("the command was not decided in time"))]
    TimedOut,
    /// The process stops.
    #[snafu(display("the control process is stopping"))]
    Stopping,
}

impl ControlHandle {
    pub(crate) fn new(
        replica: Arc<ReplicaHandle>,
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
            envelope: Envelope::new(epoch_ms(), command),
        };
        let payload = postcard::to_stdvec(&proposed).context(EncodeSnafu)?;
        let (reply, replied) = oneshot::channel();
        self.actor
            .send(Expect { id, reply })
            .await
            .ok()
            .ok_or(ProposalError::Stopping)?;
        let decided = tokio::time::timeout(PROPOSAL_TIMEOUT, self.replica.propose(payload));
        let error = match decided.await {
            Ok(Ok(_index)) => return replied.await.map_err(|_dropped| ProposalError::Stopping),
            Ok(Err(source)) => ProposalError::Propose { source },
            Err(_elapsed) => ProposalError::TimedOut,
        };
        let forgotten = self.actor.send(Forget(id)).await;
        forgotten.map_err(|_gone| ProposalError::Stopping)?;
        Err(error)
    }

    /// Where the leader is reached, as far as this replica knows.
    ///
    /// # Errors
    ///
    /// Fails if the process stops.
    pub async fn leader_addresses(&self) -> Result<LeaderAddresses, ProposalError> {
        let term = self.replica.status().term;
        let led = self.query(|state| (state.term(), state.leader())).await?;
        let (known, addresses) = led;
        Ok(if known == term {
            addresses
        } else {
            LeaderAddresses::default()
        })
    }

    /// Waits until a leader is known, as long as an ordinary election takes.
    pub(crate) async fn await_leader(&self) {
        let mut status = self.replica.watch_status();
        let known = status.wait_for(|status| status.leader.is_some());
        // Without a leader the command is refused, as it would be without the wait.
        drop(tokio::time::timeout(ELECTION_WAIT, known).await);
    }

    /// Changes of what the replica knows of its group.
    pub(crate) fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.watch_status()
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
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.clone()
    }

    /// What the replica knows of its group.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        let status = self.replica.status();
        status.leader == Some(status.id)
    }

    /// This replica.
    pub fn replica_id(&self) -> ReplicaId {
        self.replica.status().id
    }
}
