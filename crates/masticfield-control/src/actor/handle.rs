//! The handle of the control actor.

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
use super::control_actor::{Proposal, ProposalId, Query, RegisterProposal, WithdrawProposal};

/// Time limit for a proposed command to be committed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a leader to become known, enough for an ordinary election.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Proposes commands and reads the replicated state.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    replica: Arc<ReplicaHandle>,
    actor: Address<ControlActor>,
    version: watch::Receiver<u64>,
    process: u64,
    next_number: Arc<AtomicU64>,
}

/// A proposal or a read failed, or the outcome of a proposal is unknown.
#[derive(Debug, Snafu)]
pub enum ProposalError {
    /// The replica did not commit the command.
    #[snafu(display("the command was not committed"))]
    Propose {
        /// The error of the replica.
        source: ProposeError,
    },
    /// The command cannot be encoded.
    #[snafu(display("cannot encode the command"))]
    Encode {
        /// The error of the encoder.
        source: postcard::Error,
    },
    /// The command was proposed, but it is not known within 5 s whether it is committed.
    #[snafu(display("the command was not committed within {PROPOSAL_TIMEOUT:?}"))]
    TimedOut,
    /// The process is stopping.
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
            next_number: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Proposes a command and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, or if the outcome is not known in time.
    pub async fn propose(&self, command: Command) -> Result<Reply, ProposalError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = ProposalId {
            process: self.process,
            number,
        };
        let proposal = Proposal {
            id,
            envelope: Envelope::new(epoch_ms(), command),
        };
        let payload = postcard::to_stdvec(&proposal).context(EncodeSnafu)?;
        let (reply, reply_rx) = oneshot::channel();
        self.actor
            .send(RegisterProposal { id, reply })
            .await
            .ok()
            .ok_or(ProposalError::Stopping)?;
        let committed = tokio::time::timeout(PROPOSAL_TIMEOUT, self.replica.propose(payload));
        let error = match committed.await {
            Ok(Ok(_index)) => return reply_rx.await.map_err(|_dropped| ProposalError::Stopping),
            Ok(Err(source)) => ProposalError::Propose { source },
            Err(_elapsed) => ProposalError::TimedOut,
        };
        let withdrawn = self.actor.send(WithdrawProposal(id)).await;
        withdrawn.map_err(|_gone| ProposalError::Stopping)?;
        Err(error)
    }

    /// The leader's addresses; empty until the current leader has published them in the state.
    ///
    /// # Errors
    ///
    /// Fails if the process is stopping.
    pub async fn leader_addresses(&self) -> Result<LeaderAddresses, ProposalError> {
        let term = self.replica.status().term;
        let recorded = self.query(|state| (state.term(), state.leader())).await?;
        let (recorded_term, addresses) = recorded;
        Ok(if recorded_term == term {
            addresses
        } else {
            LeaderAddresses::default()
        })
    }

    /// Waits until a leader is known, up to [`ELECTION_TIMEOUT`].
    pub(crate) async fn await_leader(&self) {
        let mut status = self.replica.watch_status();
        let known = status.wait_for(|status| status.leader.is_some());
        // Without a leader the caller's next step is refused, as it would be without the wait.
        drop(tokio::time::timeout(ELECTION_TIMEOUT, known).await);
    }

    /// Returns a receiver that is notified when the replica's status changes.
    pub(crate) fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.watch_status()
    }

    /// Reads the state as this replica has applied it.
    ///
    /// # Errors
    ///
    /// Fails if the process is stopping.
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

    /// Returns a receiver of the number of the latest accepted release note; 0 without one.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.clone()
    }

    /// Returns the replica's status: its term, the leader and the committed index.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Whether this replica considers itself the leader; see also `holds_lease` of its status.
    pub fn is_leader(&self) -> bool {
        let status = self.replica.status();
        status.leader == Some(status.id)
    }

    /// Returns the identifier of this replica.
    pub fn replica_id(&self) -> ReplicaId {
        self.replica.status().id
    }
}
