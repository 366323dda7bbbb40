//! The state, and those who wait for their command to be applied.

use std::collections::HashMap;

use masticfield_replica::{Applied, AppliedKind};
use masticfield_state::{Envelope, Reply, State};
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
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

/// Holds the state of a replica.
#[derive(Debug, Actor)]
pub(crate) struct ControlActor {
    state: State,
    waiting: HashMap<ProposalId, oneshot::Sender<Reply>>,
    version: watch::Sender<u64>,
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
    /// Creates the actor before the first command; `version` tells the latest accepted note.
    pub(crate) fn new(version: watch::Sender<u64>) -> Self {
        Self {
            state: State::new(),
            waiting: HashMap::new(),
            version,
        }
    }

    /// Takes the state of a snapshot in place of its own.
    fn restore(&mut self, index: u64, snapshot: &[u8]) {
        match State::from_snapshot(snapshot) {
            Ok(state) => {
                self.state = state;
                self.tell_version();
            }
            Err(error) => log::error!(index, error:%; "a snapshot cannot be read"),
        }
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
