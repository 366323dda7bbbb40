//! Events that the leader processes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::job::{Resources, RunId};
use crate::queue::{ConfigContent, QueuesConfig};
use crate::state::{EndKind, ExecutorIncarnation, ExecutorKey, HostClaim, WaveOrder};

use super::{JobRequest, ReplyId};

/// The current time on two clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic clock that includes the time for which the machine is suspended. Used for leases
    /// and time-outs.
    pub monotonic: Duration,
    /// Wall clock, in milliseconds since the Unix epoch. Used for timetables and retention.
    pub wall_ms: u64,
}

/// An event that the leader processes.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller submits, cancels or reads a job.
    JobRequest {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// The caller's request.
        request: JobRequest,
    },
    /// An operator sends a configuration that has passed its checks.
    Configure {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// The decoded configuration.
        config: QueuesConfig,
        /// The configuration as the operator sent it.
        content: ConfigContent,
    },
    /// An executor announces itself, which it does periodically.
    Announced {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// What the executor announces.
        announcement: Announcement,
    },
    /// An executor has announced itself again without a change.
    AnnouncedAgain(BriefAnnouncement),
    /// An executor reports that it is about to end.
    Left {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// Incarnation that ends.
        departure: Departure,
    },
    /// An operator starts a wave of upkeep.
    Wave {
        /// Identifier of the pending reply.
        reply_to: ReplyId,
        /// The operator's request.
        order: WaveOrder,
    },
    /// The platform has returned its list of hosts, or the request has failed.
    HostList {
        /// All hosts; `None` if the list could not be read.
        hosts: Option<Vec<ListedHost>>,
    },
    /// The platform has returned its list of hosts, of which some entries cannot be read.
    PartialHostList {
        /// The hosts that can be read. Others may be hosts that were listed before.
        hosts: Vec<ListedHost>,
    },
    /// The platform has answered a request about a host, or the request has failed.
    HostOrderResult {
        /// Name of the host.
        host: Arc<str>,
        /// Operation that was requested.
        claim: HostClaim,
        /// Result of the request; `Ok` means that the operation has begun.
        result: Result<(), HostError>,
    },
    /// An executor has answered an order to start a run, or the call has failed.
    StartResult {
        /// Executor that was called.
        executor: ExecutorKey,
        /// Run to start.
        run: RunId,
        /// The executor's clock in milliseconds, or why the run may not have started.
        result: Result<u64, CallError>,
    },
    /// An executor has answered an order to stop a run, or the call has failed.
    StopResult {
        /// Executor that was called.
        executor: ExecutorKey,
        /// Run to stop.
        run: RunId,
        /// The executor's clock in milliseconds, or why the run may not be stopped.
        result: Result<u64, CallError>,
    },
    /// An executor has answered a [`Call::Hold`](super::Call::Hold), or the call has failed.
    HoldResult {
        /// Executor that was called.
        executor: ExecutorKey,
        /// Monotonic time at which the call was sent, as in the call.
        sent: Duration,
        /// Runs and ends on the executor, or why they are not known.
        result: Result<HoldReport, CallError>,
    },
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Arc<str>,
    /// Name of the pool that the host belongs to.
    pub pool: Arc<str>,
    /// Whether the host is up; a host that moves, is in upkeep or is down is not.
    pub up: bool,
    /// Kind of the host, which never changes; decides which pools the host suits.
    pub kind: Option<Arc<str>>,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Identifier of the host's executor, if it has one.
    pub executor: Option<Arc<str>>,
}

/// Why a request to the platform about a host was not carried out, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostError {
    /// The outcome is unknown; the operation may still begin later.
    Unknown,
    /// The platform accepts no more requests now.
    Busy,
    /// The host is not up, or its executor is leaving.
    NotUp,
    /// The platform has seen a request with a higher fence.
    Fence,
    /// The host does not belong to the wave.
    OtherWave,
    /// The host does not exist, or does not suit the pool.
    Unsuitable,
}

impl HostError {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Busy => "busy",
            Self::NotUp => "not-up",
            Self::Fence => "fence",
            Self::OtherWave => "other-wave",
            Self::Unsuitable => "unsuitable",
        }
    }
}

/// Periodic announcement of an executor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation that sends the announcement.
    pub incarnation: ExecutorIncarnation,
    /// Number of the announcement; rises within an incarnation.
    pub sequence: u64,
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the executor is leaving and accepts no more tasks.
    pub leaving: bool,
}

/// Report of an executor that it is about to end.
///
/// It may arrive after the next incarnation of the executor has announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Identifier of the executor.
    pub id: Arc<str>,
    /// Start time of the incarnation, if reported; see [`ExecutorIncarnation::started_ms`].
    pub started_ms: Option<u64>,
}

/// What differs between an announcement of an executor and an unchanged earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BriefAnnouncement {
    /// Identifier of the executor.
    pub id: Arc<str>,
    /// Start time of the incarnation; see [`ExecutorIncarnation::started_ms`].
    pub started_ms: u64,
    /// Number of the announcement; rises within an incarnation.
    pub sequence: u64,
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
}

/// Runs and ends on an executor, as it reports them in answer to a hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HoldReport {
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the incarnation that answers, if reported; see
    /// [`ExecutorIncarnation::started_ms`].
    pub started_ms: Option<u64>,
    /// All runs on the executor.
    pub running: Vec<ListedRun>,
    /// Ends that the leader has not acknowledged, in order.
    pub finished: Vec<ListedEnd>,
}

impl HoldReport {
    /// Maximum number of ends in one report. The ends that follow are in the next one, once these are
    /// acknowledged.
    pub const MAX_ENDS: usize = 500;

    /// Returns whether the report has every end that is not acknowledged.
    pub fn has_all_ends(&self) -> bool {
        self.finished.len() < Self::MAX_ENDS
    }
}

/// A run in an executor's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Progress that the run saved last, if any.
    pub saved: Option<Arc<str>>,
    /// Progress in percent; 100 for a long-running task that serves.
    pub percent: u32,
    /// Load over the last half second: for a task that serves, its tail latency in milliseconds;
    /// for any other, its processor time in thousandths of a core.
    pub load: Option<u64>,
}

/// The end of a run in an executor's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEnd {
    /// Number of the end; rises within an incarnation.
    pub number: u64,
    /// Identifier of the run.
    pub run: RunId,
    /// How the run ended.
    pub kind: EndKind,
    /// Progress that the run saved last, if any.
    pub saved: Option<Arc<str>>,
}

/// Why a call to an executor was not carried out, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallError {
    /// The outcome is unknown; the call may still be carried out later.
    Unknown,
    /// Another incarnation answers at the executor's address.
    OtherIncarnation,
    /// The executor rejected the call.
    Rejected(Rejection),
}

/// Why an executor rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The executor has seen a call with a higher fence.
    Fence,
    /// The executor has had this run or a later run of the same task.
    StaleRun,
    /// The lease in the call has already expired.
    LeaseExpired,
    /// The task exceeds the executor's free capacity.
    NoCapacity,
    /// The ticket is missing or invalid.
    InvalidTicket,
    /// The executor cannot process the call now.
    Unavailable,
    /// The executor cannot decode the call.
    Malformed,
}

impl Rejection {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::StaleRun => "old",
            Self::LeaseExpired => "late",
            Self::NoCapacity => "room",
            Self::InvalidTicket => "ticket",
            Self::Unavailable => "unavailable",
            Self::Malformed => "malformed",
        }
    }
}
