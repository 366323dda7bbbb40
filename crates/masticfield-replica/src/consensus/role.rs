//! Roles of a replica.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::progress::Progress;
use crate::Identity;

/// Role of a replica in the current term.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Follows the leader of the term, which may not be known yet. Learners stay in this role.
    Follower,
    /// Collects pre-votes before it raises the term.
    PreCandidate(BTreeSet<Identity>),
    /// Collects votes in the current term.
    Candidate(BTreeSet<Identity>),
    /// Leads the current term.
    Leader(LeaderState),
}

/// State that only a leader holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// Replication progress of each member, including the leader itself.
    pub(super) progress: BTreeMap<Identity, Progress>,
    /// When the last heartbeat was sent.
    pub(super) last_heartbeat: Duration,
}
