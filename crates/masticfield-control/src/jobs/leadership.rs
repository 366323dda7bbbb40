//! The state of one term as leader.

use std::collections::{BTreeMap, HashMap};

use futures_util::stream::FuturesOrdered;
use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{Effect, Leader, Reply, ReplyId};
use masticfield_jobs::protocol::ToEntry;
use masticfield_jobs::relay::{RelayKey, RelayOptions, Relays};
use masticfield_jobs::state::encode_entries;
use masticfield_replica::{MAX_PAYLOAD_BYTES, ProposeError, ReplicaHandle};
use tokio::sync::mpsc;

use super::JobMetrics;
use super::handle::EntrySession;
use super::reply_handle::ReplyHandle;

/// Effects of a decision that may be carried out.
#[derive(Debug)]
pub(super) struct SettledDecision {
    pub(super) effects: Vec<Effect>,
    /// Whether commands of the decision itself were committed, which shows that no other replica
    /// led when it was made.
    pub(super) committed: bool,
}

/// Yields the effects of a proposal once it is committed.
type PendingProposal =
    std::pin::Pin<Box<dyn Future<Output = Result<SettledDecision, ProposeError>> + Send>>;

/// One term as leader: the decision logic, its proposals in flight and the open requests.
pub(super) struct Leadership {
    pub(super) term: u64,
    pub(super) leader: Leader,
    pub(super) reply_handles: HashMap<ReplyId, ReplyHandle>,
    last_request_id: u64,
    /// Proposals that are not committed yet, in the order of the log.
    pub(super) in_flight: FuturesOrdered<PendingProposal>,
    /// Connections of entries, keyed by the number of the entry's process.
    pub(super) entries: BTreeMap<u64, EntrySession>,
    /// Relays of calls to executors.
    pub(super) relays: Relays,
    /// Messages to each relay.
    pub(super) relay_links: BTreeMap<RelayKey, mpsc::UnboundedSender<ToEntry>>,
}

impl Leadership {
    pub(super) fn new(term: u64, leader: Leader) -> Self {
        Self {
            term,
            leader,
            reply_handles: HashMap::new(),
            last_request_id: 0,
            in_flight: FuturesOrdered::new(),
            entries: BTreeMap::new(),
            relays: Relays::new(RelayOptions::new()),
            relay_links: BTreeMap::new(),
        }
    }

    /// Registers the recipient of a reply and returns the identifier of its request.
    pub(super) fn register(&mut self, reply_handle: ReplyHandle) -> ReplyId {
        self.last_request_id += 1;
        let id = ReplyId(self.last_request_id);
        self.reply_handles.insert(id, reply_handle);
        id
    }

    /// Proposes the commands of a decision.
    ///
    /// Effects are delayed until the decision and every earlier one are committed. They are returned
    /// at once if the decision has no commands and nothing is in flight.
    pub(super) fn submit(
        &mut self,
        replica: &ReplicaHandle,
        decision: masticfield_jobs::leader::Decision,
        metrics: &JobMetrics,
    ) -> Option<SettledDecision> {
        if decision.commands.is_empty() && self.in_flight.is_empty() {
            return Some(SettledDecision {
                effects: decision.after_commit,
                committed: false,
            });
        }
        if decision.commands.is_empty() && decision.after_commit.is_empty() {
            return None;
        }
        let payloads = encode_entries(&decision.commands, MAX_PAYLOAD_BYTES);
        let (replica, effects) = (replica.clone(), decision.after_commit);
        let (metrics, proposed_at) = (metrics.clone(), boot_now());
        let committed = !payloads.is_empty();
        self.in_flight.push_back(Box::pin(async move {
            if committed {
                replica.propose_all(payloads).await?;
                metrics.observe_commit(boot_now().saturating_sub(proposed_at));
            }
            Ok(SettledDecision { effects, committed })
        }));
        None
    }

    /// Ends the term: replies to every open request that its outcome is unknown.
    pub(super) fn abandon(self) {
        for reply_handle in self.reply_handles.into_values() {
            reply_handle.send(Reply::Unknown);
        }
    }
}
