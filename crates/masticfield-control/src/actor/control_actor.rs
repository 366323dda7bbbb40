//! The replicated state and the proposals that wait for a reply.

use std::collections::HashMap;
use std::sync::Weak;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_replica::ReplicaHandle;
use masticfield_replica::{Applied, AppliedKind};
use masticfield_state::{Command, Envelope, Reply, State};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::prelude::*;

/// Identifies a proposal among those of all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ProposalId {
    /// Identifier of the process, chosen at random when it starts.
    pub process: u64,
    /// Sequence number of the proposal in the process.
    pub number: u64,
}

/// The content of a log entry.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Proposal {
    /// Lets the proposer recognize the reply to its proposal.
    pub id: ProposalId,
    /// The command.
    pub envelope: Envelope,
}

/// Number of commands between two snapshots of the state.
const SNAPSHOT_INTERVAL: u64 = 50_000;

/// The same while the disk has hardly more space than a snapshot needs.
const EARLY_SNAPSHOT_INTERVAL: u64 = SNAPSHOT_INTERVAL / 4;

/// Applies committed commands to the state and serves reads of it.
#[derive(Debug, Actor)]
pub(crate) struct ControlActor {
    state: State,
    replica: Weak<ReplicaHandle>,
    pending_replies: HashMap<ProposalId, oneshot::Sender<Reply>>,
    version: watch::Sender<u64>,
    changes: mpsc::UnboundedSender<StateChange>,
    snapshot_index: u64,
}

/// A committed change that concerns leases, published in the order of the log.
#[derive(Debug, Clone)]
pub(crate) enum StateChange {
    /// A leader has committed the first command of its term.
    LeaderStarted {
        /// The term.
        term: u64,
        /// Number of the latest accepted release note.
        version: u64,
        /// The incarnations of entries that may hold a lease.
        roster: Vec<(EntryId, Incarnation)>,
    },
    /// An incarnation of an entry was registered and may be granted leases.
    Registered(EntryId, Incarnation),
    /// An incarnation of an entry was removed and holds no lease.
    Removed(EntryId, Incarnation),
    /// A release note was decided on; the number is that of the latest accepted one.
    NoteAccepted(u64),
}

/// Registers a proposal before it is made, so that its reply is delivered.
#[derive(Debug)]
pub(crate) struct RegisterProposal {
    /// The proposal.
    pub id: ProposalId,
    /// Receives the reply once the command is applied.
    pub reply: oneshot::Sender<Reply>,
}

/// Withdraws the registration of a proposal that failed.
#[derive(Debug)]
pub(crate) struct WithdrawProposal(pub ProposalId);

/// Reads the state.
#[derive(Debug)]
pub(crate) struct Query<F>(pub F);

impl ControlActor {
    /// Creates the actor with an empty state.
    ///
    /// `version` receives the number of the latest accepted release note, `changes` the changes
    /// that concern leases.
    pub(crate) fn new(
        replica: Weak<ReplicaHandle>,
        version: watch::Sender<u64>,
        changes: mpsc::UnboundedSender<StateChange>,
    ) -> Self {
        Self {
            state: State::new(),
            replica,
            pending_replies: HashMap::new(),
            version,
            changes,
            snapshot_index: 0,
        }
    }

    /// Replaces the state by that of a snapshot.
    fn restore(&mut self, index: u64, snapshot: &[u8]) {
        match State::from_snapshot(snapshot) {
            Ok(state) => {
                self.state = state;
                self.snapshot_index = index;
                self.publish_version();
            }
            Err(error) => log::error!(index, error:%; "cannot decode a snapshot"),
        }
    }

    /// Gives the replica a snapshot if [`SNAPSHOT_INTERVAL`] commands were applied since the last, or
    /// fewer if the disk is nearly full.
    fn snapshot_if_due(&mut self, index: u64) {
        if index < self.snapshot_index + EARLY_SNAPSHOT_INTERVAL {
            return;
        }
        // The replica is dropped only while the process stops.
        let Some(replica) = self.replica.upgrade() else {
            return;
        };
        let is_early = index < self.snapshot_index + SNAPSHOT_INTERVAL;
        if is_early && !replica.status().needs_compaction {
            return;
        }
        self.snapshot_index = index;
        match self.state.to_snapshot() {
            Ok(snapshot) => replica.snapshot(index, snapshot),
            Err(error) => log::error!(index, error:%; "cannot encode a snapshot"),
        }
    }

    /// Publishes what an applied command changed, if it concerns leases.
    fn publish_change(&self, command: &Command) {
        let roster = self.state.entries();
        let change = match command {
            Command::Lead { term, .. } if *term == self.state.term() => {
                StateChange::LeaderStarted {
                    term: *term,
                    version: self.state.config().version(),
                    roster: roster.iter().collect(),
                }
            }
            Command::EntryUp { entry, incarnation }
                if roster.latest(*entry) == Some(*incarnation) =>
            {
                StateChange::Registered(*entry, *incarnation)
            }
            Command::EntryGone {
                entry, incarnation, ..
            } if !roster.contains(*entry, *incarnation) => {
                StateChange::Removed(*entry, *incarnation)
            }
            Command::Note(_) => StateChange::NoteAccepted(self.state.config().version()),
            _ => return,
        };
        // The receiver is dropped only while the process stops.
        drop(self.changes.send(change));
    }

    fn publish_version(&self) {
        let version = self.state.config().version();
        self.version
            .send_if_modified(|latest| std::mem::replace(latest, version) != version);
    }
}

impl Handler<Applied> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: Applied, _ctx: &mut Context<Self>) {
        let Applied {
            index,
            payload,
            kind,
        } = message;
        if kind == AppliedKind::Snapshot {
            self.restore(index, &payload);
            return;
        }
        let proposal: Proposal = match postcard::from_bytes(&payload) {
            Ok(proposal) => proposal,
            Err(error) => {
                log::error!(index, error:%; "cannot decode the command of a log entry");
                return;
            }
        };
        let reply = self.state.apply(index, &proposal.envelope);
        self.publish_version();
        self.publish_change(proposal.envelope.command());
        self.snapshot_if_due(index);
        if let Some(reply_tx) = self.pending_replies.remove(&proposal.id) {
            // The proposer may have stopped waiting.
            drop(reply_tx.send(reply));
        }
    }
}

impl Handler<RegisterProposal> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RegisterProposal, _ctx: &mut Context<Self>) {
        self.pending_replies.insert(message.id, message.reply);
    }
}

impl Handler<WithdrawProposal> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: WithdrawProposal, _ctx: &mut Context<Self>) {
        self.pending_replies.remove(&message.0);
    }
}

impl<F, R> Handler<Query<F>> for ControlActor
where
    F: FnOnce(&State) -> R + Send + 'static,
    R: Send + 'static,
{
    type Return = R;

    async fn handle(&mut self, message: Query<F>, _ctx: &mut Context<Self>) -> R {
        (message.0)(&self.state)
    }
}
