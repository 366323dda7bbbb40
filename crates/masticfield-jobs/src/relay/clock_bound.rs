//! Bounds of a peer's clock, from exchanged messages.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of exchanges that count. Older ones are forgotten, as clocks drift apart.
const EXCHANGES: usize = 8;

/// How old a time stamp of a peer can be at most, by exchanges of messages with the peer.
///
/// The peer stamps its answer to a message after the message was sent. So the local clock was past
/// the sending time when the peer's clock showed the stamp, however long the answer took to arrive.
/// This gives a lower bound of the difference between both clocks, and so an upper bound of the
/// age of every stamp, which a delay of messages can only raise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClockBound {
    /// Local sending time and the peer's stamp, of the latest exchanges.
    exchanges: VecDeque<(Duration, Duration)>,
}

impl ClockBound {
    /// Records an exchange: a message sent at local time `sent`, which the peer answered when its
    /// clock showed `stamp`.
    pub fn record(&mut self, sent: Duration, stamp: Duration) {
        if self.exchanges.len() == EXCHANGES {
            self.exchanges.pop_front();
        }
        self.exchanges.push_back((sent, stamp));
    }

    /// Returns the highest possible age of a stamp of the peer; `None` before the first exchange.
    pub fn max_age(&self, now: Duration, stamp: Duration) -> Option<Duration> {
        let ages = self.exchanges.iter().map(|(sent, peer)| {
            // now - (stamp + (sent - peer)), in an order that does not go below zero.
            (now + *peer).saturating_sub(stamp + *sent)
        });
        ages.min()
    }
}
