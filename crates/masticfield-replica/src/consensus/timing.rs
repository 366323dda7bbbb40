//! Periods and bounds of a replica.

use std::time::Duration;

/// The periods by which replicas notice failures, and the bounds of their messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a leader after which a follower votes for another.
    pub election_timeout: Duration,
    /// Time for which a heartbeat that a quorum answered keeps the leader's lease.
    ///
    /// It is shorter than the election timeout by the margin for clocks that run at other rates.
    pub lease: Duration,
    /// Greatest random delay that is added to the election timeout.
    pub max_jitter: Duration,
    /// Whether a candidate first asks if it would be elected.
    pub pre_vote: bool,
    /// Entries of one append, at most.
    pub append_entries: usize,
}

/// A guard that is left out, to show that the checks notice it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// Votes are answered before they are durable.
    VoteBeforeSync,
    /// Entries are acknowledged before they are durable.
    AcknowledgeBeforeSync,
    /// Entries of earlier terms are committed by counting replicas.
    CommitEarlierTerms,
    /// Votes are given whatever the candidate's log holds.
    VoteForShorterLog,
    /// A vote is given although a leader was heard lately.
    VoteDespiteLeader,
}

impl Timing {
    /// The periods of a model without time, in which anything may happen at any moment.
    #[must_use]
    pub const fn zero() -> Self {
        Self {
            heartbeat: Duration::ZERO,
            election_timeout: Duration::ZERO,
            lease: Duration::ZERO,
            max_jitter: Duration::ZERO,
            pre_vote: false,
            append_entries: 1,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(120),
            election_timeout: Duration::from_millis(500),
            lease: Duration::from_millis(400),
            max_jitter: Duration::from_millis(300),
            pre_vote: true,
            append_entries: 4_096,
        }
    }
}
