//! Messages between entries and control replicas.
//!
//! An entry keeps one TCP connection to the leading control replica. The replica sends the
//! configuration, leases on it and verdicts on claims; the entry sends lease renewals, changes of
//! its upstreams, claims and the ends of claimed requests.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::config::FleetConfig;
use masticfield_core::ids::{Incarnation, RequestId};
use masticfield_core::membership::{Announcement, EntryInfo};
use serde::{Deserialize, Serialize};

/// A message from an entry to a control replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryToControl {
    /// Introduces the entry; the first message of a connection.
    Hello(EntryInfo),
    /// Renews the configuration lease and acknowledges a version.
    Renew {
        /// Number of the renewal, repeated by the lease. The entry counts the lease's time to
        /// live from when it sent the renewal.
        sequence: u64,
        /// Version of the configuration that the entry serves; 0 if it serves none.
        version: u64,
    },
    /// Reports upstreams that changed since the last report, for planning and for operators.
    Upstreams {
        /// Upstreams that are new or changed.
        changed: Vec<Announcement>,
        /// Upstreams whose announcements expired.
        expired: Vec<(Arc<str>, Incarnation)>,
    },
    /// Claims that must be durable before their requests are sent to upstreams.
    Claims {
        /// Number of the message, repeated by its verdicts.
        sequence: u64,
        /// Claims to decide on; their verdicts come in the same order.
        claims: Vec<Claim>,
    },
    /// Reports claimed requests that have ended.
    EndedClaims(Vec<EndedClaim>),
}

/// End of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedClaim {
    /// Idempotency key that was claimed.
    pub key: ClaimKey,
    /// Dispatch to which the claim was granted.
    pub request: RequestId,
    /// How the dispatch ended.
    pub end: ClaimEnd,
}

/// A message from a control replica to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlToEntry {
    /// Refuses the entry, as another replica leads; the connection is closed.
    NotLeader {
        /// Address on which the leader accepts entries; `None` if it is not known.
        leader: Option<SocketAddr>,
    },
    /// Configuration to serve from now on.
    Config(Box<FleetConfig>),
    /// Grants a lease on the configuration.
    Lease {
        /// Number of the renewal that the lease answers.
        sequence: u64,
        /// Version of the configuration that may be served.
        version: u64,
        /// Time to live of the lease, from the sending of the renewal.
        ttl: Duration,
    },
    /// Verdicts on claims, in the order of the claims.
    Verdicts {
        /// Number of the message with the claims.
        sequence: u64,
        /// One verdict for each claim; empty if the claims could not be made durable.
        verdicts: Vec<ClaimVerdict>,
    },
}
