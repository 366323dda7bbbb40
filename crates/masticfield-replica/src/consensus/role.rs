//! Roles of a replica.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::progress::Progress;
use crate::Identity;

/// What a replica is in the current term.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate(BTreeSet<Identity>),
    /// It asks for votes.
    Candidate(BTreeSet<Identity>),
    /// It leads.
    Leader(Leadership),
}

/// State of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    /// How far each member has come, itself included.
    pub(super) peers: BTreeMap<Identity, Progress>,
    /// When the last heartbeat was sent.
    pub(super) heartbeat: Duration,
}
