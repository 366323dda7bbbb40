//! The actor that knows the claimed requests that this entry dispatched.

use std::collections::HashMap;
use std::time::Instant;

use masticfield_core::claim::ClaimEnd;
use masticfield_core::ids::RequestId;
use masticfield_routing::at_most_once::{ResponseStore, ResponseStoreLimits};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::StoredResponse;

/// Holds who waits for claimed requests in progress, and the responses to those that ended.
#[derive(Debug, Actor)]
pub(crate) struct ResponseStoreActor {
    in_progress: HashMap<RequestId, Vec<oneshot::Sender<LookupReply>>>,
    stored: ResponseStore<StoredResponse>,
}

/// Registers a claimed request, so that lookups wait for its end.
#[derive(Debug)]
pub(crate) struct BeginDispatch(pub RequestId);

/// Ends a claimed request and answers the lookups that wait for it.
#[derive(Debug)]
pub(crate) struct EndDispatch {
    /// The request, by its dispatch.
    pub request: RequestId,
    /// Whether it ran.
    pub end: ClaimEnd,
    /// The whole response, if the upstream sent one.
    pub response: Option<StoredResponse>,
}

/// Looks up a dispatch; the receiver gets the reply once the dispatch has ended.
#[derive(Debug)]
pub(crate) struct LookUp(pub RequestId);

/// What this entry knows of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LookupReply {
    /// It was answered with this response.
    Response(StoredResponse),
    /// It ended, and no response is stored.
    Ended(ClaimEnd),
    /// The dispatch is unknown, or its response is no longer stored.
    Unknown,
}

impl ResponseStoreActor {
    /// Creates an actor without requests.
    pub(crate) fn new(limits: ResponseStoreLimits) -> Self {
        Self {
            in_progress: HashMap::new(),
            stored: ResponseStore::new(limits),
        }
    }
}

impl Handler<BeginDispatch> for ResponseStoreActor {
    type Return = ();

    async fn handle(&mut self, message: BeginDispatch, _ctx: &mut Context<Self>) {
        self.in_progress.entry(message.0).or_default();
    }
}

impl Handler<EndDispatch> for ResponseStoreActor {
    type Return = ();

    async fn handle(&mut self, message: EndDispatch, _ctx: &mut Context<Self>) {
        let reply = match &message.response {
            Some(response) => LookupReply::Response(response.clone()),
            None => LookupReply::Ended(message.end),
        };
        for tx in self
            .in_progress
            .remove(&message.request)
            .unwrap_or_default()
        {
            // Fails only if the lookup was abandoned.
            drop(tx.send(reply.clone()));
        }
        if let Some(response) = message.response {
            let size = response.size();
            let now = Instant::now();
            self.stored.insert(now, message.request, response, size);
        }
    }
}

impl Handler<LookUp> for ResponseStoreActor {
    type Return = oneshot::Receiver<LookupReply>;

    async fn handle(
        &mut self,
        message: LookUp,
        _ctx: &mut Context<Self>,
    ) -> oneshot::Receiver<LookupReply> {
        let (tx, reply) = oneshot::channel();
        if let Some(waiters) = self.in_progress.get_mut(&message.0) {
            waiters.retain(|tx| !tx.is_closed());
            waiters.push(tx);
            return reply;
        }
        let stored = self.stored.get(Instant::now(), message.0).cloned();
        let stored = stored.map_or(LookupReply::Unknown, LookupReply::Response);
        drop(tx.send(stored));
        reply
    }
}
