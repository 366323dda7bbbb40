//! The handle of [`JobControl`](super::JobControl).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{
    Announcement, Departure, Event, JobRequest, Refusal, Reply, ReplyId,
};
use masticfield_jobs::protocol::{EntryRequest, ToEntry};
use masticfield_jobs::queue::{ConfigContent, QueuesConfig, RequestLimits};
use masticfield_jobs::relay::{CallResult, RelayOffer};
use masticfield_jobs::state::WaveOrder;
use masticfield_replica::ReplicaStatus;
use tokio::sync::{mpsc, oneshot, watch};

use super::reply_handle::ReplyHandle;
use super::{JobMetrics, OperatorRequest, OperatorRequestKind, Referral, ReferralStep, refer};

/// Interval at which the last contact with the leader is checked while a request waits.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A message to the job control.
#[derive(Debug)]
pub(super) enum Input {
    /// An event that needs no reply.
    Event(Event),
    /// A request of this process.
    Request {
        reply_handle: ReplyHandle,
        request: Request,
    },
    /// A request that arrived over the connection of an entry.
    EntryRequest {
        /// Number of the connection.
        session: u64,
        /// Number of the entry's process.
        process: u64,
        reply_handle: ReplyHandle,
        request: Request,
    },
    /// Reads the stored configuration.
    ReadConfig(oneshot::Sender<Option<ConfigContent>>),
    /// Reads the progress of a wave, given by its number.
    ReadWave(u64, oneshot::Sender<WaveProgress>),
    /// An entry has connected.
    EntryConnected {
        process: u64,
        /// Clock of the entry when it opened the connection.
        sent: Duration,
        session: EntrySession,
    },
    /// The connection of an entry has ended.
    EntryDisconnected {
        /// Number of the connection.
        session: u64,
    },
    /// A message of any kind has arrived over the connection of an entry.
    EntryContact {
        /// Number of the connection.
        session: u64,
    },
    /// An entry returns the result of a relayed call.
    CallResult {
        /// Number of the connection.
        session: u64,
        /// Number of the call.
        number: u64,
        result: CallResult,
    },
    /// Asks where an executor, given by its identifier and zone, should announce itself.
    FindRelay {
        id: Arc<str>,
        zone: Arc<str>,
        reply: oneshot::Sender<Option<Arc<str>>>,
    },
}

/// The connection of an entry, which closes when this value is dropped.
#[derive(Debug)]
pub(super) struct EntrySession {
    /// Number of the connection, unique in this process.
    pub(super) number: u64,
    /// Messages to the entry.
    pub(super) tx: mpsc::UnboundedSender<ToEntry>,
    /// How the entry relays calls to executors; `None` if it does not.
    pub(super) relay: Option<RelayOffer>,
    /// Closes the connection when it is dropped.
    pub(super) _open: oneshot::Sender<()>,
}

/// A request that the leader replies to.
#[derive(Debug)]
pub(super) enum Request {
    /// A request of a caller.
    Job(JobRequest),
    /// Puts a configuration in force; the bytes are the configuration as it was sent.
    Configure(QueuesConfig, ConfigContent),
    /// An executor announces itself.
    Announce(Announcement),
    /// An executor ends.
    Leave(Departure),
    /// Starts a wave of upkeep.
    StartWave(WaveOrder),
}

/// Progress of a wave of upkeep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveProgress {
    /// This replica does not lead, so it cannot give the current progress.
    NotReady,
    /// There is no wave with this number.
    Unknown,
    /// The upkeep of some hosts has not started yet.
    Running,
    /// The upkeep of every host has started, or the host is gone.
    Completed,
}

/// This process's view of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlView {
    /// Whether this replica leads and makes decisions.
    pub is_leader: bool,
    /// Address at which the other replicas reach the leader, if a leader is known.
    pub leader: Option<SocketAddr>,
    /// Term of the group, as far as this replica knows it.
    pub term: u64,
    /// Time of the boot clock since which this leader of this term, or none, has been known.
    pub leader_since: Duration,
    /// Addresses at which the members of the group reach each other.
    pub members: Vec<SocketAddr>,
    /// Whether calls to executors go through relays, which take their announcements as well.
    pub uses_relays: bool,
    /// Limits on the requests of callers; none until a configuration that sets them is in force.
    pub limits: Option<RequestLimits>,
}

impl ControlView {
    /// Returns how long this leader of this term, or none, has been known at `now`.
    pub(super) fn leader_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.leader_since)
    }
}

/// Sends events and requests to the job control.
#[derive(Debug, Clone)]
pub struct JobControlHandle {
    pub(super) tx: mpsc::UnboundedSender<Input>,
    pub(super) view: watch::Receiver<ControlView>,
    pub(super) status: watch::Receiver<ReplicaStatus>,
    pub(super) metrics: JobMetrics,
}

/// The stored configuration, as the owner of the bytes that readers share.
struct SharedContent(ConfigContent);

impl AsRef<[u8]> for SharedContent {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl JobControlHandle {
    /// Returns the current view of the control group.
    pub fn view(&self) -> ControlView {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified when the view of the control group changes.
    pub fn watch_view(&self) -> watch::Receiver<ControlView> {
        self.view.clone()
    }

    /// Returns where a request goes that only the leader can serve.
    ///
    /// Waits for a new leader while one can be expected, at most for 700 ms.
    pub async fn find_leader(&self) -> Referral {
        let arrived = boot_now();
        let mut view = self.view.clone();
        loop {
            let now = boot_now();
            let last_contact = self.status.borrow().last_contact;
            let step = refer(&view.borrow_and_update(), last_contact, arrived, now);
            let until = match step {
                ReferralStep::Refer(referral) => return referral,
                ReferralStep::WaitUntil(until) => until,
            };
            // The view does not change when a silent leader makes contact again.
            let wait = until.saturating_sub(now).min(CONTACT_CHECK_INTERVAL);
            if let Ok(Err(_closed)) = tokio::time::timeout(wait, view.changed()).await {
                return Referral::NoLeader;
            }
        }
    }

    /// Sends an event that needs no reply; ignored unless this replica leads.
    pub fn send_event(&self, event: Event) {
        // Fails only while the process ends.
        drop(self.tx.send(Input::Event(event)));
    }

    /// Records that a request of an operator has arrived.
    ///
    /// `number` is the version of the configuration or the number of the wave that it names.
    pub fn record_operator_request(
        &self,
        kind: OperatorRequestKind,
        number: Option<u64>,
    ) -> OperatorRequest {
        OperatorRequest::new(kind, number, &self.view.borrow(), self.metrics.clone())
    }

    /// Stores a configuration that was checked and puts it in force.
    ///
    /// `content` is the configuration as it was sent; [`Self::read_config`] returns it.
    pub async fn configure(
        &self,
        config: QueuesConfig,
        content: impl Into<ConfigContent>,
    ) -> Reply {
        self.request(Request::Configure(config, content.into()))
            .await
    }

    /// Records the announcement of an executor.
    pub async fn announce(&self, announcement: Announcement) -> Reply {
        self.request(Request::Announce(announcement)).await
    }

    /// Returns the host and port at which an executor should announce itself, if it has a relay.
    pub async fn find_relay(
        &self,
        id: impl Into<Arc<str>>,
        zone: impl Into<Arc<str>>,
    ) -> Option<Arc<str>> {
        if !self.view.borrow().uses_relays {
            return None;
        }
        let (reply, found) = oneshot::channel();
        let (id, zone) = (id.into(), zone.into());
        drop(self.tx.send(Input::FindRelay { id, zone, reply }));
        found.await.ok().flatten()
    }

    /// Records that an executor is ending.
    pub async fn leave(&self, departure: Departure) -> Reply {
        self.request(Request::Leave(departure)).await
    }

    /// Starts a wave of upkeep.
    pub async fn start_wave(&self, order: WaveOrder) -> Reply {
        self.request(Request::StartWave(order)).await
    }

    /// Reads the stored configuration as it was sent. All readers share the same bytes.
    ///
    /// Returns none without a configuration, or if this replica does not lead and so may hold an
    /// outdated one.
    pub async fn read_config(&self) -> Option<Bytes> {
        let (tx, rx) = oneshot::channel();
        drop(self.tx.send(Input::ReadConfig(tx)));
        let content = rx.await.ok().flatten()?;
        Some(Bytes::from_owner(SharedContent(content)))
    }

    /// Reads the progress of the wave with this number.
    pub async fn read_wave(&self, number: u64) -> WaveProgress {
        let (tx, rx) = oneshot::channel();
        drop(self.tx.send(Input::ReadWave(number, tx)));
        rx.await.unwrap_or(WaveProgress::NotReady)
    }

    async fn request(&self, request: Request) -> Reply {
        let (tx, rx) = oneshot::channel();
        let reply_handle = ReplyHandle::Local(tx);
        drop(self.tx.send(Input::Request {
            reply_handle,
            request,
        }));
        // The sender is dropped without a reply only while the process ends.
        rx.await.unwrap_or(Reply::Refused(Refusal::NotReady))
    }
}

impl Request {
    /// Converts the request into the event that the leader replies to under `reply_to`.
    pub(super) fn into_event(self, reply_to: ReplyId) -> Event {
        match self {
            Self::Job(request) => Event::JobRequest { reply_to, request },
            Self::Configure(config, content) => Event::Configure {
                reply_to,
                config,
                content,
            },
            Self::Announce(announcement) => Event::Announced {
                reply_to,
                announcement,
            },
            Self::Leave(departure) => Event::Left {
                reply_to,
                departure,
            },
            Self::StartWave(order) => Event::Wave { reply_to, order },
        }
    }
}

impl From<EntryRequest> for Request {
    fn from(request: EntryRequest) -> Self {
        match request {
            EntryRequest::Job(request) => Self::Job(request),
            EntryRequest::Announce(announcement) => Self::Announce(announcement),
            EntryRequest::Leave(departure) => Self::Leave(departure),
        }
    }
}
