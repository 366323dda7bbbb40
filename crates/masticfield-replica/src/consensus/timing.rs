//! Timeouts and limits of a replica.

use std::time::Duration;

/// Timeouts by which replicas detect failures, and limits of their messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time without contact with a leader after which a follower may vote for another replica.
    ///
    /// A leader steps down when a majority has not responded for as long.
    pub election_timeout: Duration,
    /// Duration of the leader's lease, counted from the sending of a heartbeat that a majority
    /// answered.
    ///
    /// It must be shorter than the election timeout by a margin for clock drift between hosts.
    pub lease_duration: Duration,
    /// Upper bound of the random delay that is added to the election timeout.
    pub max_election_jitter: Duration,
    /// Whether a replica collects pre-votes before it starts an election.
    pub pre_vote: bool,
    /// Maximum number of entries in one append message.
    pub max_append_entries: usize,
}

/// A guard of the protocol that tests leave out, to show that they detect its absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// Votes are sent before they are durable.
    VoteBeforeSync,
    /// Entries are acknowledged before they are durable.
    AcknowledgeBeforeSync,
    /// Entries of earlier terms are committed by counting replicas.
    CommitEarlierTerms,
    /// Votes are granted to candidates whose log lacks entries of the voter.
    VoteForShorterLog,
    /// Votes are granted within the election timeout of the last contact with a leader.
    VoteDespiteLeader,
    /// A follower without space acknowledges the entries that it holds in memory.
    AcknowledgeWithoutSpace,
}

impl Timing {
    /// Timing for a model without time, in which a timeout may occur at any moment.
    #[must_use]
    pub const fn zero() -> Self {
        Self {
            heartbeat_interval: Duration::ZERO,
            election_timeout: Duration::ZERO,
            lease_duration: Duration::ZERO,
            max_election_jitter: Duration::ZERO,
            pre_vote: false,
            max_append_entries: 1,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(120),
            election_timeout: Duration::from_millis(500),
            lease_duration: Duration::from_millis(400),
            max_election_jitter: Duration::from_millis(300),
            pre_vote: true,
            max_append_entries: 4_096,
        }
    }
}
