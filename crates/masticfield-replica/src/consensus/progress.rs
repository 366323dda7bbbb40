//! What a leader knows of a member.

use std::collections::VecDeque;
use std::time::Duration;

/// Appends to one member that are not answered yet, at most.
pub(super) const MAX_IN_FLIGHT: usize = 32;

/// How far a member has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The logs match up to this index, durably at the member.
    pub(super) matched: u64,
    /// The next index to send.
    pub(super) next: u64,
    /// How entries are sent.
    pub(super) mode: Mode,
    /// When the member was last heard.
    pub(super) heard: Duration,
    /// The latest sending time that the member has repeated.
    pub(super) answered: Option<Duration>,
}

/// How a leader sends to a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Mode {
    /// One message at a time, until the logs are known to match.
    Probe {
        /// Whether a message is under way.
        waiting: bool,
    },
    /// Many messages at a time.
    Stream {
        /// Last index of each message that is not answered.
        in_flight: VecDeque<u64>,
    },
    /// Pieces of a snapshot.
    Transfer {
        /// Index of the snapshot.
        index: u64,
        /// Bytes that the member holds.
        offset: u64,
        /// When the last piece was sent.
        sent: Duration,
    },
}

impl Progress {
    pub(super) const fn new(last_index: u64, now: Duration) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            mode: Mode::Probe { waiting: false },
            heard: now,
            answered: None,
        }
    }

    /// Notes that the logs match up to `index`.
    pub(super) fn advance(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe { .. } => self.stream(),
            Mode::Stream { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= index) {
                    in_flight.pop_front();
                }
            }
            Mode::Transfer {
                index: snapshot, ..
            } if *snapshot <= index => self.stream(),
            Mode::Transfer { .. } => {}
        }
    }

    /// Notes that the entry at `prev_index` did not match; says whether to send again.
    pub(super) fn reject(&mut self, prev_index: u64, retry_from: u64) -> bool {
        let stale = prev_index <= self.matched || matches!(self.mode, Mode::Transfer { .. });
        let late_probe = matches!(self.mode, Mode::Probe { .. }) && prev_index + 1 != self.next;
        if stale || late_probe {
            return false;
        }
        self.next = retry_from.min(prev_index).max(self.matched + 1);
        self.mode = Mode::Probe { waiting: false };
        true
    }

    /// Whether another message with entries may be sent.
    pub(super) fn may_send(&self, last_index: u64) -> bool {
        match &self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Stream { in_flight } => {
                self.next <= last_index && in_flight.len() < MAX_IN_FLIGHT
            }
            Mode::Transfer { .. } => false,
        }
    }

    /// Notes that entries up to `last` were sent.
    pub(super) fn sent_up_to(&mut self, last: u64) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Stream { in_flight } => {
                in_flight.push_back(last);
                self.next = last + 1;
            }
            Mode::Transfer { .. } => {}
        }
    }

    fn stream(&mut self) {
        self.next = self.matched + 1;
        self.mode = Mode::Stream {
            in_flight: VecDeque::new(),
        };
    }
}
