//! Which calls a relay may still send.

use std::time::Duration;

use super::{CALL_VALIDITY, ClockBound};

/// Decides on the entry whether a relayed call may still be sent to its executor.
///
/// It is asked right before the call is sent, as a call may have waited for others, and the process
/// may have been paused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayGate {
    /// Number of the current connection to the leader; `None` without one.
    connection: Option<u64>,
    last_connection: u64,
    /// Clock of the leader of the current connection.
    clock: ClockBound,
    /// Highest term of any leader's call.
    highest_term: u64,
}

/// What a relay must know of a call to check whether it may still be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTicket {
    connection: u64,
    term: u64,
    decided: Duration,
}

/// Whether a relayed call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayVerdict {
    /// The call may be sent.
    Send,
    /// The connection over which the call arrived has ended.
    Disconnected,
    /// A later leader has sent calls.
    Deposed,
    /// The call is too old, or its age is not known.
    Expired,
}

impl RelayGate {
    /// Begins a connection to a leader, which replaces an earlier one; returns its number.
    pub fn connect(&mut self) -> u64 {
        self.last_connection += 1;
        self.connection = Some(self.last_connection);
        self.clock = ClockBound::default();
        self.last_connection
    }

    /// Ends the connection to the leader. Calls that are not sent yet are dropped.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Records that the leader's clock showed `stamp` when it answered a message that was sent at
    /// `sent` by the local clock.
    pub fn record_leader_clock(&mut self, sent: Duration, stamp: Duration) {
        self.clock.record(sent, stamp);
    }

    /// Registers a call that arrived over a connection.
    ///
    /// `decided` is the leader's clock when it decided to make the call.
    pub fn ticket(&mut self, connection: u64, term: u64, decided: Duration) -> CallTicket {
        self.highest_term = self.highest_term.max(term);
        CallTicket {
            connection,
            term,
            decided,
        }
    }

    /// Returns whether a call may be sent at `now`.
    pub fn check(&self, ticket: CallTicket, now: Duration) -> RelayVerdict {
        if self.connection != Some(ticket.connection) {
            return RelayVerdict::Disconnected;
        }
        if ticket.term < self.highest_term {
            return RelayVerdict::Deposed;
        }
        match self.clock.max_age(now, ticket.decided) {
            Some(age) if age <= CALL_VALIDITY => RelayVerdict::Send,
            _ => RelayVerdict::Expired,
        }
    }
}

impl RelayVerdict {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Send => "sent",
            Self::Disconnected => "disconnected",
            Self::Deposed => "deposed",
            Self::Expired => "expired",
        }
    }
}
