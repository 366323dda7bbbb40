//! The state, and those who wait for their command to be applied.

use std::collections::HashMap;
use std::sync::Weak;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_replica::ReplicaHandle;
use masticfield_replica::{Applied, AppliedKind};
use masticfield_state::{Command, Envelope, Reply, State};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::prelude::*;

/// Number of a proposal, unique among the proposals of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ProposalId {
    /// Chosen at random when the process starts.
    pub process: u64,
    /// Counts the proposals of the process.
    pub number: u64,
}

/// What is written into the log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Proposed {
    /// Tells the proposer which reply is its own.
    pub id: ProposalId,
    /// The command.
    pub envelope: Envelope,
}

/// Commands between two snapshots of the state.
const SNAPSHOT_INTERVAL: u64 = 50_000;

/// Holds the state of a replica.
#[derive(Debug, Actor)]
pub(crate) struct ControlActor {
    state: State,
    replica: Weak<ReplicaHandle>,
    waiting: HashMap<ProposalId, oneshot::Sender<Reply>>,
    version: watch::Sender<u64>,
    changes: mpsc::UnboundedSender<StateChange>,
    snapshot_index: u64,
}

/// A change of the state that concerns leases, told in the order of the log.
#[derive(Debug, Clone)]
pub(crate) enum StateChange {
    /// A replica leads.
    Led {
        /// Its term.
        term: u64,
        /// The latest accepted note.
        version: u64,
        /// The entries that may hold a lease.
        roster: Vec<(EntryId, Incarnation)>,
    },
    /// An incarnation of an entry may get leases.
    Registered(EntryId, Incarnation),
    /// An incarnation of an entry holds no lease.
    Removed(EntryId, Incarnation),
    /// A release note was accepted.
    Accepted(u64),
}

/// Announces a proposal, so that its reply is kept for the proposer.
#[derive(Debug)]
pub(crate) struct Expect {
    /// The proposal.
    pub id: ProposalId,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Reply>,
}

/// Withdraws the announcement of a proposal that failed.
#[derive(Debug)]
pub(crate) struct Forget(pub ProposalId);

/// Reads the state.
#[derive(Debug)]
pub(crate) struct Query<F>(pub F);

impl ControlActor {
    /// Creates the actor before the first command.
    ///
    /// `version` tells the latest accepted note, `changes` what concerns leases.
    pub(crate) fn new(
        replica: Weak<ReplicaHandle>,
        version: watch::Sender<u64>,
        changes: mpsc::UnboundedSender<StateChange>,
    ) -> Self {
        Self {
            state: State::new(),
            replica,
            waiting: HashMap::new(),
            version,
            changes,
            snapshot_index: 0,
        }
    }

    /// Takes the state of a snapshot in place of its own.
    fn restore(&mut self, index: u64, snapshot: &[u8]) {
        match State::from_snapshot(snapshot) {
            Ok(state) => {
                self.state = state;
                self.snapshot_index = index;
                self.tell_version();
            }
            Err(error) => log::error!(index, error:%; "a snapshot cannot be read"),
        }
    }

    /// Hands a snapshot to the replica if many commands were applied since the last.
    fn take_snapshot(&mut self, index: u64) {
        if index < self.snapshot_index + SNAPSHOT_INTERVAL {
            return;
        }
        // Without a replica the process stops.
        let Some(replica) = self.replica.upgrade() else {
            return;
        };
        self.snapshot_index = index;
        match self.state.to_snapshot() {
            Ok(snapshot) => replica.snapshot(index, snapshot),
            Err(error) => log::error!(index, error:%; "the state cannot be saved"),
        }
    }

    /// Tells what a command changed that concerns leases.
    fn tell_change(&self, command: &Command) {
        let roster = self.state.entries();
        let change = match command {
            Command::Lead { term, .. } if *term == self.state.term() => StateChange::Led {
                term: *term,
                version: self.state.config().version(),
                roster: roster.iter().collect(),
            },
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
            Command::Note(_) => StateChange::Accepted(self.state.config().version()),
            _ => return,
        };
        // Nobody listens any more when the process stops.
        drop(self.changes.send(change));
    }

    fn tell_version(&self) {
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
        let proposed: Proposed = match postcard::from_bytes(&payload) {
            Ok(proposed) => proposed,
            Err(error) => {
                log::error!(index, error:%; "a log entry is no command");
                return;
            }
        };
        let reply = self.state.apply(index, &proposed.envelope);
        self.tell_version();
        self.tell_change(proposed.envelope.command());
        self.take_snapshot(index);
        if let Some(waiter) = self.waiting.remove(&proposed.id) {
            // A proposer that no longer waits does not need the reply.
            drop(waiter.send(reply));
        }
    }
}

impl Handler<Expect> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: Expect, _ctx: &mut Context<Self>) {
        self.waiting.insert(message.id, message.reply);
    }
}

impl Handler<Forget> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: Forget, _ctx: &mut Context<Self>) {
        self.waiting.remove(&message.0);
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
