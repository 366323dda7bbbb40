//! What the leader is told.

use std::sync::Arc;
use std::time::Duration;

use crate::job::{Resources, RunId};
use crate::queue::QueuesConfig;
use crate::state::{EndKind, ExecutorIncarnation, ExecutorKey, HostClaim, WaveOrder};

use super::{JobRequest, ReplyId};

/// A moment by two clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// The own clock, which never jumps and counts the time of a suspended machine.
    pub monotonic: Duration,
    /// Time of day, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// What the leader is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller asks for a change.
    JobRequest {
        /// Whom to answer.
        reply_to: ReplyId,
        /// What is asked.
        request: JobRequest,
    },
    /// An operator sends a configuration, which was checked.
    Configure {
        /// Whom to answer.
        reply_to: ReplyId,
        /// The configuration.
        config: QueuesConfig,
        /// The configuration as it was sent.
        content: Arc<[u8]>,
    },
    /// An executor tells of itself.
    Announced {
        /// Whom to answer.
        reply_to: ReplyId,
        /// What it tells.
        announcement: Announcement,
    },
    /// An executor says that it ends now.
    Left {
        /// Whom to answer.
        reply_to: ReplyId,
        /// Identifier of the executor.
        id: Arc<str>,
    },
    /// An operator asks for a wave of upkeep.
    Wave {
        /// Whom to answer.
        reply_to: ReplyId,
        /// The wave.
        order: WaveOrder,
    },
    /// The platform has listed its hosts, or not.
    HostList {
        /// The hosts; none if the list could not be read.
        hosts: Option<Vec<ListedHost>>,
    },
    /// The platform has answered an order about a host, or not.
    HostOrderResult {
        /// The host.
        host: Arc<str>,
        /// What was asked.
        claim: HostClaim,
        /// How it went.
        result: Result<(), HostError>,
    },
    /// An executor has answered the order to start a run, or not.
    StartResult {
        /// The executor.
        executor: ExecutorKey,
        /// The run.
        run: RunId,
        /// The executor's clock.
        result: Result<u64, CallError>,
    },
    /// An executor has answered the order to stop a run, or not.
    StopResult {
        /// The executor.
        executor: ExecutorKey,
        /// The run.
        run: RunId,
        /// The executor's clock.
        result: Result<u64, CallError>,
    },
    /// An executor has told what runs and what ended, or not.
    HoldResult {
        /// The executor.
        executor: ExecutorKey,
        /// When it was asked.
        sent: Duration,
        /// What it told.
        result: Result<HoldReport, CallError>,
    },
}

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Its name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Whether it is up; else it moves, is in upkeep or down.
    pub up: bool,
    /// The kind, which stays with the host.
    pub kind: Option<Arc<str>>,
    /// What its tasks may take together.
    pub capacity: Resources,
    /// Identifier of its executor, if it has one.
    pub executor: Option<Arc<str>>,
}

/// Why an order about a host was not carried out, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostError {
    /// Nothing is known: it may be carried out, also later.
    Unknown,
    /// The platform takes no more orders now.
    Busy,
    /// The host is not up, or its executor leaves.
    NotUp,
    /// A higher fence was seen.
    Fence,
    /// The host does not belong to the wave.
    OtherWave,
    /// There is no such host, or it does not suit the pool.
    Unsuitable,
}

impl HostError {
    /// The name in logs and metrics.
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

/// What an executor tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// The life.
    pub incarnation: ExecutorIncarnation,
    /// Number of the announcement in this life; it rises.
    pub sequence: u64,
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether it leaves.
    pub leaving: bool,
}

/// What runs on an executor and what ended there.
#[derive(Debug, Clone, PartialEq)]
pub struct HoldReport {
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the life of the executor began, if it tells.
    pub started_ms: Option<u64>,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What ended and was not noted yet, in order.
    pub finished: Vec<ListedEnd>,
}

/// A run that an executor lists.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: RunId,
    /// The progress that it saved last.
    pub saved: Option<Arc<str>>,
    /// Progress in percent; 100 for a lasting task at work.
    pub percent: u32,
    /// Tail of response times of a task that serves, in milliseconds, or processor time in use
    /// of another one, in thousandths of a core, over the last half second.
    pub load: Option<u64>,
}

/// An end that an executor lists.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEnd {
    /// Number of the end in this life of the executor.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// The progress that it saved last.
    pub saved: Option<Arc<str>>,
}

/// Why an order was not carried out, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Nothing is known: it may be carried out, also later.
    Unknown,
    /// Another life answers at the address.
    OtherIncarnation,
    /// It was rejected.
    Rejected(Rejection),
}

/// Why an executor rejects an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// A higher fence was seen.
    Fence,
    /// The run, or a later one, was there before.
    StaleRun,
    /// The lease had already run out.
    LeaseExpired,
    /// There is no room.
    NoCapacity,
    /// The ticket is missing or not valid.
    InvalidTicket,
    /// The executor cannot do it now.
    Unavailable,
    /// The executor finds the order malformed.
    Malformed,
}

impl Rejection {
    /// The name in logs.
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
