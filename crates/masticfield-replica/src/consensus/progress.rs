//! Replication progress of one member, as its leader tracks it.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of unanswered append messages to one member.
pub(super) const MAX_IN_FLIGHT: usize = 32;

/// Replication progress of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// Highest index up to which the member's durable log is known to match.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// How entries are sent to the member.
    pub(super) mode: ReplicationMode,
    /// When the last response of the current term was received.
    pub(super) last_contact: Duration,
    /// Latest time of sending among the messages that the member has answered.
    pub(super) answered_sent_at: Option<Duration>,
    /// Whether the member can store entries; without space it gets heartbeats only.
    pub(super) has_space: bool,
}

/// How a leader sends entries to a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum ReplicationMode {
    /// One message at a time, until the index up to which the logs match is known.
    Probe {
        /// Whether a message is unanswered; a heartbeat clears this, as messages can be lost.
        awaiting_response: bool,
    },
    /// Up to [`MAX_IN_FLIGHT`] messages at a time.
    Stream {
        /// Index of the last entry in each unanswered message, in order of sending.
        in_flight: VecDeque<u64>,
    },
    /// Chunks of a snapshot, one at a time.
    Transfer {
        /// Index of the snapshot.
        index: u64,
        /// Bytes of the snapshot that the member has acknowledged.
        offset: u64,
        /// When the last chunk was sent.
        sent_at: Duration,
    },
}

impl Progress {
    pub(super) const fn new(last_index: u64, now: Duration) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            mode: ReplicationMode::Probe {
                awaiting_response: false,
            },
            last_contact: now,
            answered_sent_at: None,
            has_space: true,
        }
    }

    /// Records that the member's log matches up to `index`.
    pub(super) fn advance(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            ReplicationMode::Probe { .. } => self.start_streaming(),
            ReplicationMode::Stream { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= index) {
                    in_flight.pop_front();
                }
            }
            ReplicationMode::Transfer {
                index: snapshot, ..
            } if *snapshot <= index => self.start_streaming(),
            ReplicationMode::Transfer { .. } => {}
        }
    }

    /// Records that the entry at `prev_index` did not match.
    ///
    /// Returns `false` if the rejection is out of date, so that nothing has to be sent again.
    pub(super) fn reject(&mut self, prev_index: u64, retry_from: u64) -> bool {
        let stale =
            prev_index <= self.match_index || matches!(self.mode, ReplicationMode::Transfer { .. });
        let late_probe =
            matches!(self.mode, ReplicationMode::Probe { .. }) && prev_index + 1 != self.next_index;
        if stale || late_probe {
            return false;
        }
        self.next_index = retry_from.min(prev_index).max(self.match_index + 1);
        self.mode = ReplicationMode::Probe {
            awaiting_response: false,
        };
        true
    }

    /// Records that the member cannot store anything.
    ///
    /// It responds to a heartbeat otherwise once it can, from which replication continues.
    pub(super) fn pause(&mut self) {
        self.has_space = false;
        self.next_index = self.match_index + 1;
        self.mode = ReplicationMode::Probe {
            awaiting_response: true,
        };
    }

    /// Whether another message with entries may be sent now.
    pub(super) fn can_send(&self, last_index: u64) -> bool {
        if !self.has_space {
            return false;
        }
        match &self.mode {
            ReplicationMode::Probe { awaiting_response } => !awaiting_response,
            ReplicationMode::Stream { in_flight } => {
                self.next_index <= last_index && in_flight.len() < MAX_IN_FLIGHT
            }
            ReplicationMode::Transfer { .. } => false,
        }
    }

    /// Records that a message with entries up to `last` was sent.
    pub(super) fn record_sent(&mut self, last: u64) {
        match &mut self.mode {
            ReplicationMode::Probe { awaiting_response } => *awaiting_response = true,
            ReplicationMode::Stream { in_flight } => {
                in_flight.push_back(last);
                self.next_index = last + 1;
            }
            ReplicationMode::Transfer { .. } => {}
        }
    }

    fn start_streaming(&mut self) {
        self.next_index = self.match_index + 1;
        self.mode = ReplicationMode::Stream {
            in_flight: VecDeque::new(),
        };
    }
}
