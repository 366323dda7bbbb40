//! The actor that knows the claimed requests of this entry.

use std::collections::HashMap;
use std::time::Instant;

use masticfield_core::claim::ClaimEnd;
use masticfield_core::ids::RequestId;
use masticfield_routing::at_most_once::{ResponseStore, ResponseStoreLimits};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::StoredAnswer;

/// Claimed requests in progress, and the answers that are held.
#[derive(Debug, Actor)]
pub(crate) struct BookActor {
    running: HashMap<RequestId, Vec<oneshot::Sender<Found>>>,
    held: ResponseStore<StoredAnswer>,
}

/// A claimed request begins.
#[derive(Debug)]
pub(crate) struct Begin(pub RequestId);

/// A claimed request ended.
#[derive(Debug)]
pub(crate) struct End {
    /// The dispatch.
    pub request: RequestId,
    /// How it came out.
    pub how: ClaimEnd,
    /// The whole answer, if it was answered.
    pub answer: Option<StoredAnswer>,
}

/// Asks what became of a dispatch; the receiver is told once it has message.
#[derive(Debug)]
pub(crate) struct Find(pub RequestId);

/// What became of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Found {
    /// The whole answer.
    Answer(StoredAnswer),
    /// How it ended; no answer is held.
    Ended(ClaimEnd),
    /// Nothing is known of it.
    NotKnown,
}

impl BookActor {
    /// Creates a book without entries.
    pub(crate) fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            running: HashMap::new(),
            held: ResponseStore::new(limits),
        }
    }
}

impl Handler<Begin> for BookActor {
    type Return = ();

    async fn handle(&mut self, message: Begin, _ctx: &mut Context<Self>) {
        self.running.entry(message.0).or_default();
    }
}

impl Handler<End> for BookActor {
    type Return = ();

    async fn handle(&mut self, message: End, _ctx: &mut Context<Self>) {
        let found = match &message.answer {
            Some(answer) => Found::Answer(answer.clone()),
            None => Found::Ended(message.how),
        };
        for tx in self.running.remove(&message.request).unwrap_or_default() {
            // Who no longer waits needs no answer.
            drop(tx.send(found.clone()));
        }
        if let Some(answer) = message.answer {
            let size = answer.size();
            let now = Instant::now();
            self.held.insert(now, message.request, answer, size);
        }
    }
}

impl Handler<Find> for BookActor {
    type Return = oneshot::Receiver<Found>;

    async fn handle(
        &mut self,
        message: Find,
        _ctx: &mut Context<Self>,
    ) -> oneshot::Receiver<Found> {
        let (tx, found) = oneshot::channel();
        if let Some(waiting) = self.running.get_mut(&message.0) {
            waiting.retain(|tx| !tx.is_closed());
            waiting.push(tx);
            return found;
        }
        let held = self.held.get(Instant::now(), message.0).cloned();
        let held = held.map_or(Found::NotKnown, Found::Answer);
        drop(tx.send(held));
        found
    }
}
