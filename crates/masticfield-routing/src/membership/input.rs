//! What goes into the membership and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, MembershipEvent};
use snafu::Snafu;

use super::message::PeerMessage;

/// Something that happened to the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A tick of the interval [`Timing::tick`](super::Timing::tick_interval) passed.
    Tick,
    /// A datagram from a peer arrived.
    Received(PeerMessage),
    /// An upstream announced itself to this entry.
    Announced(Announcement),
    /// This entry leaves.
    Leave,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message in a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        msg: PeerMessage,
    },
    /// Tell the other parts of the entry.
    Publish(MembershipEvent),
    /// Answer the announcement.
    Accept {
        /// When the upstream is to announce itself again.
        again_in: Duration,
    },
    /// Refuse the announcement.
    Refuse(AnnouncementRefusal),
    /// Every live peer has acknowledged that this entry leaves.
    Left,
    /// A later process has taken the identifier of this entry, which has to stop.
    Replaced,
}

/// Why an announcement was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AnnouncementRefusal {
    /// A later incarnation is known, or this one leaves already.
    #[snafu(display("incarnation {known} is known, or has begun to leave"))]
    Stale {
        /// The incarnation that is known.
        known: Incarnation,
    },
    /// A text is empty or too long.
    #[snafu(display("a text is empty or longer than {limit} bytes"))]
    Text {
        /// The limit in bytes.
        limit: usize,
    },
    /// Another announcement was made under the same incarnation.
    #[snafu(display("the incarnation was announced with other content"))]
    Changed,
    /// No more upstreams are kept.
    #[snafu(display("{limit} upstreams are known already"))]
    Full {
        /// The limit.
        limit: usize,
    },
}
