//! Relaying of the leader's calls to executors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::relay::{
    CallResult, CallTicket, ExecutorCall, RelayGate, RelayOffer, RelayVerdict, RelayedCall,
};
use tokio::sync::mpsc;

use super::link_handle::LinkInput;

/// A call to carry out for the leader.
///
/// The receiver asks [`may_send`](Self::may_send) right before it sends the call to the executor,
/// and [returns](Self::finish) the result in any case.
#[derive(Debug)]
pub struct RelayTask {
    call: RelayedCall,
    ticket: CallTicket,
    connection: u64,
    gate: SharedGate,
    results: mpsc::UnboundedSender<LinkInput>,
}

/// The gate of this process's relay, which the link and all tasks share.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedGate(Arc<Mutex<RelayGate>>);

/// The relaying part of a [`LeaderLink`](super::LeaderLink).
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) offer: RelayOffer,
    gate: SharedGate,
    tasks: mpsc::UnboundedSender<RelayTask>,
    /// Weak, so that the link ends with the handles.
    results: mpsc::WeakUnboundedSender<LinkInput>,
    /// Number of the current connection to the leader.
    connection: u64,
}

impl RelayTask {
    /// Returns the call.
    pub const fn call(&self) -> &ExecutorCall {
        &self.call.call
    }

    /// Returns whether the call may still be sent; logs why if it may not.
    pub fn may_send(&self) -> bool {
        let verdict = self.gate.lock().check(self.ticket, boot_now());
        if verdict != RelayVerdict::Send {
            let (call, why) = (self.call().tag().name(), verdict.name());
            log::info!(executor = self.call().id.as_ref(), call, why; "relayed call dropped");
        }
        verdict == RelayVerdict::Send
    }

    /// Returns the result to the leader, if it is still connected.
    pub fn finish(self, result: CallResult) {
        let input = LinkInput::CallResult {
            connection: self.connection,
            number: self.call.number,
            result,
        };
        // Fails only while the process ends.
        drop(self.results.send(input));
    }
}

impl SharedGate {
    fn lock(&self) -> MutexGuard<'_, RelayGate> {
        // The gate is plain data and consistent after every call.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    pub(super) fn new(
        offer: RelayOffer,
        results: mpsc::WeakUnboundedSender<LinkInput>,
    ) -> (Self, mpsc::UnboundedReceiver<RelayTask>) {
        let (tasks, rx) = mpsc::unbounded_channel();
        let relay = Self {
            offer,
            gate: SharedGate::default(),
            tasks,
            results,
            connection: 0,
        };
        (relay, rx)
    }

    pub(super) fn connect(&mut self) {
        self.connection = self.gate.lock().connect();
    }

    pub(super) fn disconnect(&self) {
        self.gate.lock().disconnect();
    }

    pub(super) fn record_leader_clock(&self, sent: Duration, stamp: Duration) {
        self.gate.lock().record_leader_clock(sent, stamp);
    }

    pub(super) fn relay(&self, call: RelayedCall) {
        let Some(results) = self.results.upgrade() else {
            return;
        };
        let (term, decided) = (call.call.term, call.call.decided);
        let ticket = self.gate.lock().ticket(self.connection, term, decided);
        let task = RelayTask {
            call,
            ticket,
            connection: self.connection,
            gate: self.gate.clone(),
            results,
        };
        // Without a receiver the call gets no result and counts as unanswered.
        drop(self.tasks.send(task));
    }

    pub(super) const fn connection(&self) -> u64 {
        self.connection
    }
}
