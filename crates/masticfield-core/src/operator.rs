//! Messages of the operators' HTTP API.
//!
//! Control replicas serve the API; requests carry a bearer token and responses are JSON. A
//! follower responds with [`Problem::NotLeader`], which holds the leader's address.
//!
//! | request | body | response |
//! | --- | --- | --- |
//! | `POST /v1/notes` | TOML of a release note | [`NoteAccepted`] |
//! | `POST /v1/plan` | TOML of a release note | [`PlanPreview`] |
//! | `GET /v1/notes/{number}` | | [`RolloutStatus`] |
//! | `GET /v1/status` | | [`FleetStatus`] |
//! | `GET /v1/config` | | [`FleetConfig`](crate::config::FleetConfig) |
//! | `GET /v1/hosts` | | list of [`HostRow`] |
//! | `GET /v1/upstreams` | | list of [`UpstreamRow`] |
//! | `GET /v1/jobs` | | list of [`JobRow`] |
//! | `GET /v1/history?since=N` | | list of [`HistoryRow`] |
//! | `GET /v1/explain/{host\|job\|pool\|note}/{name}` | | list of [`HistoryRow`] |
//! | `POST /v1/hosts/{host}/drain` | | [`DrainAccepted`] |
//!
//! # Examples
//!
//! ```
//! use masticfield_core::operator::Problem;
//!
//! let problem = Problem::BadToken;
//! assert_eq!(problem.status(), 401);
//! ```

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::NoteError;
use crate::ids::{EntryId, ReplicaId};

/// Response to a release note that was committed on a quorum.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteAccepted {
    /// Number of the note.
    pub number: u64,
    /// Whether the same note had already been accepted by an earlier request.
    pub repeated: bool,
}

/// Changes that a release note would cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanPreview {
    /// Number of the note.
    pub number: u64,
    /// Steps in the order of their execution.
    pub steps: Vec<PlanStep>,
    /// Pools that would lack hosts, and losses that the reserve would not cover.
    pub shortfalls: Vec<Arc<str>>,
    /// Number of hosts that would change pools.
    pub host_moves: u32,
    /// Number of tasks that would change hosts.
    pub job_moves: u32,
    /// Number of idle hosts that would remain in reserve.
    pub buffer_hosts: u32,
}

/// One step of a plan, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// Description of the action.
    pub action: Arc<str>,
    /// Reason for the action.
    pub reason: Arc<str>,
}

/// Progress of the roll-out of a note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Number of the note.
    pub number: u64,
    /// Entries that serve this version.
    pub acknowledged: Vec<EntryId>,
    /// Entries that hold a lease on an earlier version.
    pub pending: Vec<EntryId>,
    /// Whether the note is in force on every entry.
    pub in_force: bool,
    /// Milliseconds from acceptance until the note was in force; absent while it is not in force.
    pub in_force_after_ms: Option<u64>,
}

/// Overview of the installation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Replica that sent the response.
    pub replica: ReplicaId,
    /// Current leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// Number of the latest accepted note.
    pub version: u64,
    /// Whether that note is in force on every entry.
    pub in_force: bool,
    /// Entries that hold a configuration lease.
    pub entries: Vec<EntryRow>,
    /// Pools of the configuration.
    pub pools: Vec<PoolRow>,
    /// Services of the configuration.
    pub services: Vec<ServiceRow>,
}

/// An entry, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Identifier of the entry.
    pub entry: EntryId,
    /// Availability zone of the entry.
    pub zone: Arc<str>,
    /// Version of the configuration that the entry serves.
    pub version: u64,
}

/// A pool, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Number of healthy hosts that the pool needs.
    pub needed: u32,
    /// Number of hosts that the pool owns.
    pub owned: u32,
    /// Number of owned hosts that are healthy.
    pub healthy: u32,
    /// Number of owned hosts that are draining.
    pub draining: u32,
}

/// A service, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the pool that runs the service.
    pub pool: Arc<str>,
    /// Number of executors that the service needs.
    pub executors: u32,
    /// Number of executors that have announced that they serve.
    pub serving: u32,
    /// Promised availability, from 0 to 1.
    pub availability: f64,
    /// Seconds of the error budget that are left in the window.
    pub budget_left_s: u64,
}

/// A host, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack, unique within its availability zone.
    pub rack: Arc<str>,
    /// Name of the pool that owns the host, if any.
    pub pool: Option<Arc<str>>,
    /// Generation of the host's ownership.
    pub generation: u64,
    /// `owned`, `draining`, `released` or `new`.
    pub state: Arc<str>,
    /// `healthy`, `suspect`, `rebooting`, `failed` or `unseen`.
    pub health: Arc<str>,
}

/// An upstream, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Name of the service that the upstream runs.
    pub service: Arc<str>,
    /// Name of the host that the upstream runs on.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address that the upstream accepts requests on.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// `serving` or `leaving`.
    pub state: Arc<str>,
}

/// A job, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Name of the job.
    pub job: Arc<str>,
    /// Name of the pool whose hosts run the job.
    pub pool: Arc<str>,
    /// Name of the team whose quota the job uses.
    pub team: Arc<str>,
    /// Number of tasks that the job needs.
    pub wanted: u32,
    /// Number of tasks that are running.
    pub running: u32,
    /// Number of tasks that have finished.
    pub finished: u32,
    /// Reason why tasks are missing, if any are.
    pub note: Option<Arc<str>>,
}

/// An event of the stored history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Index of the replicated log entry that caused the event.
    pub index: u64,
    /// Time in milliseconds since the Unix epoch by the clock of the proposing leader.
    pub at_ms: u64,
    /// Description of the event.
    pub event: Arc<str>,
    /// Reason for the event.
    pub reason: Arc<str>,
}

/// Response to a request to drain a host that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAccepted {
    /// Name of the host.
    pub host: Arc<str>,
    /// Generation of the host's ownership that is being drained.
    pub generation: u64,
}

/// Reason why an operator's request was not carried out; the body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Problem {
    /// The bearer token is missing or wrong.
    #[snafu(display("the token is missing or wrong"))]
    BadToken,
    /// The replica is not the leader.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// Address of the leader's operators' API, if it is known.
        leader: Option<SocketAddr>,
    },
    /// No quorum of control replicas is reachable, so nothing was accepted.
    #[snafu(display("no quorum of control replicas is reachable; nothing was accepted"))]
    NoQuorum,
    /// The change was proposed, but whether it was committed is not known; resending the same
    /// request finds out.
    #[snafu(display("the outcome is not known yet; send the same note again to learn it"))]
    Undecided,
    /// The process has no memory for the request, so nothing was accepted.
    #[snafu(display("the replica is overloaded; nothing was accepted"))]
    Overloaded,
    /// The release note cannot be parsed.
    #[snafu(display("the release note cannot be read: {message}"))]
    UnreadableNote {
        /// Message of the parser, with line and column.
        message: Arc<str>,
    },
    /// The release note does not apply to the configuration.
    #[snafu(display("{error}"))]
    NoteRefused {
        /// Reason for the refusal.
        error: NoteError,
    },
    /// Another note with the same number was accepted before.
    #[snafu(display("note {number} was accepted with other content: {summary}"))]
    OtherNoteWon {
        /// Number of both notes.
        number: u64,
        /// Summary of the accepted note.
        summary: Arc<str>,
    },
    /// The object that the request names does not exist.
    #[snafu(display("there is no {kind} \"{name}\""))]
    NotFound {
        /// Kind of the object, such as `host`.
        kind: Arc<str>,
        /// Name of the object.
        name: Arc<str>,
    },
    /// The host cannot be drained now.
    #[snafu(display("host \"{host}\" cannot be drained: {why}"))]
    CannotDrain {
        /// Name of the host.
        host: Arc<str>,
        /// Reason why it cannot be drained.
        why: Arc<str>,
    },
    /// The body of the request is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The API has no operation with this method and path.
    #[snafu(display("there is no such operation"))]
    NoSuchOperation,
}

impl Problem {
    /// Returns the HTTP status of the error response.
    pub const fn status(&self) -> u16 {
        match self {
            Self::BadToken => 401,
            Self::NotLeader { .. } => 421,
            Self::NoQuorum | Self::Undecided | Self::Overloaded => 503,
            Self::UnreadableNote { .. } => 400,
            Self::NoteRefused { .. } => 422,
            Self::OtherNoteWon { .. } | Self::CannotDrain { .. } => 409,
            Self::NotFound { .. } | Self::NoSuchOperation => 404,
            Self::TooLarge { .. } => 413,
        }
    }
}
