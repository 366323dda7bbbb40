//! The HTTP face for operators.
//!
//! A control replica serves it as JSON under a bearer token. A follower answers
//! [`Problem::NotLeader`] with the leader's address.
//!
//! | request | body | answer |
//! | --- | --- | --- |
//! | `POST /v1/notes` | TOML of a release note | [`NoteAccepted`] |
//! | `POST /v1/plan` | TOML of a release note | [`PlanPreview`] |
//! | `GET /v1/notes/{number}` | | [`RolloutStatus`] |
//! | `GET /v1/status` | | [`FleetStatus`] |
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

/// An accepted release note: committed on a quorum.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteAccepted {
    /// Number of the note.
    pub number: u64,
    /// Whether the same note had been accepted before.
    pub repeated: bool,
}

/// What a release note would change.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanPreview {
    /// Number of the note.
    pub number: u64,
    /// The steps in order, each with its reason, for people.
    pub steps: Vec<PlanStep>,
    /// Promises that the fleet could not keep, and by how much.
    pub shortfalls: Vec<Arc<str>>,
    /// Hosts that change pools.
    pub host_moves: u32,
    /// Tasks that change hosts.
    pub job_moves: u32,
    /// Idle hosts held in reserve afterwards.
    pub buffer_hosts: u32,
}

/// One step of a plan, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// What is done.
    pub action: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
}

/// How far the roll-out of a note is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Number of the note.
    pub number: u64,
    /// Entries that serve it.
    pub acknowledged: Vec<EntryId>,
    /// Entries that hold a lease on an earlier version.
    pub pending: Vec<EntryId>,
    /// Whether it is in force everywhere.
    pub in_force: bool,
    /// Milliseconds from its acceptance until it was in force.
    pub in_force_after_ms: Option<u64>,
}

/// The installation at a glance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The replica that answers.
    pub replica: ReplicaId,
    /// The replica that leads.
    pub leader: Option<ReplicaId>,
    /// Number of the latest accepted note.
    pub version: u64,
    /// Whether it is in force everywhere.
    pub in_force: bool,
    /// The entries that hold a lease.
    pub entries: Vec<EntryRow>,
    /// The pools.
    pub pools: Vec<PoolRow>,
    /// The services.
    pub services: Vec<ServiceRow>,
}

/// An entry, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The version that it serves.
    pub version: u64,
}

/// A pool, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Hosts that it needs.
    pub needed: u32,
    /// Hosts that it owns.
    pub owned: u32,
    /// Hosts of these that are healthy.
    pub healthy: u32,
    /// Hosts of these that drain.
    pub draining: u32,
}

/// A service, for people.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Name of the service.
    pub service: Arc<str>,
    /// Pool that runs it.
    pub pool: Arc<str>,
    /// Executors that it needs.
    pub executors: u32,
    /// Executors that are announced and serve.
    pub serving: u32,
    /// Promised availability.
    pub availability: f64,
    /// Seconds of the budget that are left in the window.
    pub budget_left_s: u64,
}

/// A host, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack.
    pub rack: Arc<str>,
    /// Pool that owns it.
    pub pool: Option<Arc<str>>,
    /// Generation of the ownership.
    pub generation: u64,
    /// `owned`, `draining`, `released` or `new`.
    pub state: Arc<str>,
    /// `healthy`, `suspect`, `rebooting`, `failed` or `unseen`.
    pub health: Arc<str>,
}

/// An upstream, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Host that it runs on.
    pub host: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Slots.
    pub slots: u16,
    /// `serving` or `leaving`.
    pub state: Arc<str>,
}

/// A job, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Name of the job.
    pub job: Arc<str>,
    /// Pool that carries it.
    pub pool: Arc<str>,
    /// Team that pays for it.
    pub team: Arc<str>,
    /// Tasks wanted.
    pub wanted: u32,
    /// Tasks running.
    pub running: u32,
    /// Tasks finished.
    pub finished: u32,
    /// Why tasks are missing, if any are.
    pub note: Option<Arc<str>>,
}

/// A line of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Index of the log entry.
    pub index: u64,
    /// Milliseconds since the Unix epoch at the leader that proposed it.
    pub at_ms: u64,
    /// What was done.
    pub event: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
}

/// An accepted drain of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAccepted {
    /// Name of the host.
    pub host: Arc<str>,
    /// The generation that drains.
    pub generation: u64,
}

/// Why an operator's request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Problem {
    /// The token is missing or wrong.
    #[snafu(display("the token is missing or wrong"))]
    BadToken,
    /// Another replica leads.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// Operators' address of the leader, if it is known.
        leader: Option<SocketAddr>,
    },
    /// No quorum of replicas can be reached, so nothing was accepted.
    #[snafu(display("no quorum of control replicas is reachable; nothing was accepted"))]
    NoQuorum,
    /// It was proposed and its commitment is not known; resend the same note to learn it.
    #[snafu(display("the outcome is not known yet; send the same note again to learn it"))]
    Undecided,
    /// The note could not be read.
    #[snafu(display("the release note cannot be read: {message}"))]
    UnreadableNote {
        /// The error of the parser, with line and column.
        message: Arc<str>,
    },
    /// The note does not apply.
    #[snafu(display("{error}"))]
    NoteRefused {
        /// Why.
        error: NoteError,
    },
    /// A different note has this number.
    #[snafu(display("note {number} was accepted with other content: {summary}"))]
    OtherNoteWon {
        /// The number.
        number: u64,
        /// Summary of the note that has it.
        summary: Arc<str>,
    },
    /// There is no such thing.
    #[snafu(display("there is no {kind} \"{name}\""))]
    NotFound {
        /// What was asked for.
        kind: Arc<str>,
        /// Its name.
        name: Arc<str>,
    },
    /// The host cannot be drained now.
    #[snafu(display("host \"{host}\" cannot be drained: {why}"))]
    CannotDrain {
        /// Name of the host.
        host: Arc<str>,
        /// Why.
        why: Arc<str>,
    },
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The request makes no sense.
    #[snafu(display("there is no such operation"))]
    NoSuchOperation,
}

impl Problem {
    /// The HTTP status that goes with the problem.
    pub const fn status(&self) -> u16 {
        match self {
            Self::BadToken => 401,
            Self::NotLeader { .. } => 421,
            Self::NoQuorum | Self::Undecided => 503,
            Self::UnreadableNote { .. } => 400,
            Self::NoteRefused { .. } => 422,
            Self::OtherNoteWon { .. } | Self::CannotDrain { .. } => 409,
            Self::NotFound { .. } | Self::NoSuchOperation => 404,
            Self::TooLarge { .. } => 413,
        }
    }
}
