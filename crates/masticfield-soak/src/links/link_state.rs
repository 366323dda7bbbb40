//! How a link treats its connections.

use std::time::Duration;

/// How a link treats its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LinkState {
    /// Faults that delay the link.
    pub(crate) delayed: u32,
    /// Faults that cut the direction from the side that connects, and the other direction.
    pub(crate) cut: [u32; 2],
    /// Whether connections are refused.
    pub(crate) closed: bool,
    /// Number of the last connection that is reset.
    pub(crate) reset_up_to: u64,
    /// Number of the last connection that is silent for good.
    pub(crate) silent_up_to: u64,
}

/// Delay of each piece of data while a link is delayed.
const DELAY: Duration = Duration::from_millis(300);

/// What happens to a piece of data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Passage {
    /// It is sent after a delay.
    Send(Duration),
    /// It waits for a change of the state.
    Wait,
    /// The connection is reset.
    Reset,
}

impl LinkState {
    /// What happens to data of a connection in a direction.
    pub(super) const fn passage(&self, connection: u64, direction: usize) -> Passage {
        if self.closed || connection <= self.reset_up_to {
            Passage::Reset
        } else if connection <= self.silent_up_to || self.cut[direction] > 0 {
            Passage::Wait
        } else if self.delayed > 0 {
            Passage::Send(DELAY)
        } else {
            Passage::Send(Duration::ZERO)
        }
    }
}
