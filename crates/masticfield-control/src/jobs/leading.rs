//! A leadership and what it waits for.

use std::collections::{BTreeMap, HashMap};

use futures_util::stream::FuturesOrdered;
use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{Effect, Leader, Reply, ReplyId};
use masticfield_jobs::state::encode_entries;
use masticfield_replica::{MAX_PAYLOAD_BYTES, ProposeError, ReplicaHandle};

use super::JobMetrics;
use super::asker::Asker;
use super::handle::EntrySession;

/// The result of a proposal.
type Proposed = std::pin::Pin<Box<dyn Future<Output = Result<Vec<Effect>, ProposeError>> + Send>>;

/// A leadership and what it waits for.
pub(super) struct Leading {
    pub(super) term: u64,
    pub(super) leader: Leader,
    pub(super) asks: HashMap<ReplyId, Asker>,
    last_ask: u64,
    /// Turns that are not committed yet, in order.
    pub(super) in_flight: FuturesOrdered<Proposed>,
    /// Connections of entries, by their process.
    pub(super) entries: BTreeMap<u64, EntrySession>,
}

impl Leading {
    pub(super) fn new(term: u64, leader: Leader) -> Self {
        Self {
            term,
            leader,
            asks: HashMap::new(),
            last_ask: 0,
            in_flight: FuturesOrdered::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Notes who waits for an answer.
    pub(super) fn note(&mut self, asker: Asker) -> ReplyId {
        self.last_ask += 1;
        let ask = ReplyId(self.last_ask);
        self.asks.insert(ask, asker);
        ask
    }

    /// Proposes a turn; its effects come out once it and every earlier one are committed.
    pub(super) fn submit(
        &mut self,
        replica: &ReplicaHandle,
        turn: masticfield_jobs::leader::Decision,
        metrics: &JobMetrics,
    ) -> Option<Vec<Effect>> {
        if turn.commands.is_empty() && self.in_flight.is_empty() {
            return Some(turn.after_commit);
        }
        if turn.commands.is_empty() && turn.after_commit.is_empty() {
            return None;
        }
        let payloads = encode_entries(&turn.commands, MAX_PAYLOAD_BYTES);
        let (replica, then) = (replica.clone(), turn.after_commit);
        let (metrics, proposed) = (metrics.clone(), boot_now());
        self.in_flight.push_back(Box::pin(async move {
            if !payloads.is_empty() {
                replica.propose_all(payloads).await?;
                metrics.committed(boot_now().saturating_sub(proposed));
            }
            Ok(then)
        }));
        None
    }

    /// Tells everyone who waits that nothing is known of the outcome.
    pub(super) fn give_up(self) {
        for asker in self.asks.into_values() {
            asker.answer(Reply::Unknown);
        }
    }
}
