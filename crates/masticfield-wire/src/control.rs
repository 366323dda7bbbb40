//! Messages between an entry and the control replicas.
//!
//! An entry keeps one TCP connection to the leader. The leader sends the configuration, leases
//! and verdicts; the entry sends renewals, claims and the ends of claimed requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::config::FleetConfig;
use masticfield_core::ids::{Incarnation, RequestId};
use masticfield_core::membership::{Announcement, EntryInfo};
use serde::{Deserialize, Serialize};

/// What an entry sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryToControl {
    /// The first message of a connection.
    Hello(EntryInfo),
    /// Asks to prolong the configuration lease, and acknowledges a version.
    Renew {
        /// Number that the lease repeats, so that the entry counts it from when it asked.
        sequence: u64,
        /// The version that the entry serves; 0 if it serves none.
        version: u64,
    },
    /// Upstreams that changed since the last report, for the planner and for operators.
    Upstreams {
        /// Upstreams that are new or changed.
        changed: Vec<Announcement>,
        /// Upstreams that expired.
        expired: Vec<(Arc<str>, Incarnation)>,
    },
    /// Claims that must be durable before their requests are sent.
    Claims {
        /// Number that the verdicts repeat.
        sequence: u64,
        /// The claims.
        claims: Vec<Claim>,
    },
    /// Ends of claimed requests.
    EndedClaims(Vec<EndedClaim>),
}

/// How a claimed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedClaim {
    /// The key.
    pub key: ClaimKey,
    /// The dispatch.
    pub request: RequestId,
    /// How it ended.
    pub end: ClaimEnd,
}

/// What a control replica sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlToEntry {
    /// Another replica leads; the connection ends.
    NotLeader {
        /// Where entries reach the leader, if it is known.
        leader: Option<SocketAddr>,
    },
    /// A configuration to serve from now on.
    Config(Box<FleetConfig>),
    /// A lease on the configuration.
    Lease {
        /// The number of the renewal that it answers.
        sequence: u64,
        /// The version that may be served.
        version: u64,
        /// How long, from when the renewal was sent.
        ttl: Duration,
    },
    /// Verdicts on claims, in the order of the claims.
    Verdicts {
        /// The number of the claims that they answer.
        sequence: u64,
        /// One verdict for each claim; none if the claims could not be made durable.
        verdicts: Vec<ClaimVerdict>,
    },
}
