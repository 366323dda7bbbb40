//! Inputs and actions of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, MembershipEvent};
use snafu::Snafu;

use super::message::PeerMessage;

/// An event that [`Membership::step`](super::Membership::step) processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The interval [`Timing::tick_interval`](super::Timing::tick_interval) has passed.
    Tick,
    /// A datagram from a peer arrived.
    Received(PeerMessage),
    /// An upstream announced itself to this entry.
    Announced(Announcement),
    /// This entry is to leave.
    Leave,
}

/// An action that the entry carries out for the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message in a datagram.
    Send {
        /// Address of the receiving entry.
        to: SocketAddr,
        /// The message.
        msg: PeerMessage,
    },
    /// Publish a change to the other parts of the entry.
    Publish(MembershipEvent),
    /// Accept the announcement of this step.
    Accept {
        /// Time after which the upstream is to announce itself again.
        again_in: Duration,
    },
    /// Refuse the announcement of this step.
    Refuse(AnnouncementRefusal),
    /// Finish leaving: every peer that was live has acknowledged it.
    Left,
    /// Stop the entry, as a later process uses its identifier.
    Replaced,
}

/// Why an announcement was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum AnnouncementRefusal {
    /// A later incarnation is known, or this incarnation is already leaving.
    #[snafu(display("incarnation {known} is known, or has begun to leave"))]
    Stale {
        /// The latest known incarnation.
        known: Incarnation,
    },
    /// A text of the announcement is empty or too long.
    #[snafu(display("a text is empty or longer than {limit} bytes"))]
    InvalidText {
        /// Maximum length of a text, in bytes.
        limit: usize,
    },
    /// The same incarnation was announced before with other content.
    #[snafu(display("the incarnation was announced with other content"))]
    Changed,
    /// The table of upstreams is full.
    #[snafu(display("{limit} upstreams are known already"))]
    Full {
        /// Maximum number of upstreams.
        limit: usize,
    },
}
