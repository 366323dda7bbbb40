//! The handle of the job control.

use std::net::SocketAddr;
use std::sync::Arc;

use masticfield_jobs::leader::{Announcement, Event, JobRequest, Refusal, Reply, ReplyId};
use masticfield_jobs::protocol::ToEntry;
use masticfield_jobs::queue::{QueuesConfig, RequestLimits};
use masticfield_jobs::state::WaveOrder;
use tokio::sync::{mpsc, oneshot, watch};

use super::asker::Asker;

/// What the job control is told.
#[derive(Debug)]
pub(super) enum Input {
    /// An event that nobody waits for.
    Event(Event),
    /// An event whose result someone waits for; `event` is given the number.
    Ask { asker: Asker, event: Question },
    /// A question over the connection of an entry.
    EntryAsk {
        session: u64,
        process: u64,
        asker: Asker,
        event: Question,
    },
    /// Asks for the stored configuration.
    ReadConfig(oneshot::Sender<Option<Arc<[u8]>>>),
    /// Asks how many hosts of a wave are left.
    ReadWave(u64, oneshot::Sender<WaveProgress>),
    /// An entry has connected.
    Entry { process: u64, session: EntrySession },
}

/// The connection of an entry; it closes when this is dropped.
#[derive(Debug)]
pub(super) struct EntrySession {
    /// Number of the connection in this process.
    pub(super) number: u64,
    pub(super) tx: mpsc::UnboundedSender<ToEntry>,
    pub(super) _open: oneshot::Sender<()>,
}

/// What someone asks for.
#[derive(Debug)]
pub(super) enum Question {
    JobRequest(JobRequest),
    Configure(QueuesConfig, Arc<[u8]>),
    Announced(Announcement),
    Left(Arc<str>),
    Wave(WaveOrder),
}

/// How far a wave of upkeep is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaveProgress {
    /// This replica cannot tell.
    NotReady,
    /// No such wave is known.
    Unknown,
    /// Hosts are left.
    Running,
    /// The upkeep of every host has begun, or the host is gone.
    Completed,
}

/// Who leads, as this process sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlView {
    /// Whether this replica leads and decides.
    pub is_leader: bool,
    /// Address of the leading replica, if it is known.
    pub leader: Option<SocketAddr>,
    /// Addresses of the replicas.
    pub members: Vec<SocketAddr>,
    /// Bounds of what callers send, once a configuration is in force.
    pub limits: Option<RequestLimits>,
}

/// Tells the job control of events and asks it.
#[derive(Debug, Clone)]
pub struct JobControlHandle {
    pub(super) tx: mpsc::UnboundedSender<Input>,
    pub(super) view: watch::Receiver<ControlView>,
}

impl JobControlHandle {
    /// Who leads.
    pub fn view(&self) -> ControlView {
        self.view.borrow().clone()
    }

    /// A receiver of changes of who leads.
    pub fn watch_view(&self) -> watch::Receiver<ControlView> {
        self.view.clone()
    }

    /// Tells of an event.
    pub fn send_event(&self, event: Event) {
        // The job control ends with its process.
        drop(self.tx.send(Input::Event(event)));
    }

    /// Stores and puts in force a configuration that was checked.
    pub async fn configure(&self, config: QueuesConfig, content: impl Into<Arc<[u8]>>) -> Reply {
        self.ask(Question::Configure(config, content.into())).await
    }

    /// Takes an executor's announcement.
    pub async fn announce(&self, announcement: Announcement) -> Reply {
        self.ask(Question::Announced(announcement)).await
    }

    /// Takes an executor's word that it ends.
    pub async fn leave(&self, id: impl Into<Arc<str>>) -> Reply {
        self.ask(Question::Left(id.into())).await
    }

    /// Takes up a wave of upkeep.
    pub async fn start_wave(&self, order: WaveOrder) -> Reply {
        self.ask(Question::Wave(order)).await
    }

    /// The stored configuration as it was sent; none if this replica cannot be sure of it.
    pub async fn read_config(&self) -> Option<Arc<[u8]>> {
        let (tx, rx) = oneshot::channel();
        drop(self.tx.send(Input::ReadConfig(tx)));
        rx.await.ok().flatten()
    }

    /// How far a wave is.
    pub async fn read_wave(&self, number: u64) -> WaveProgress {
        let (tx, rx) = oneshot::channel();
        drop(self.tx.send(Input::ReadWave(number, tx)));
        rx.await.unwrap_or(WaveProgress::NotReady)
    }

    async fn ask(&self, event: Question) -> Reply {
        let (tx, rx) = oneshot::channel();
        let asker = Asker::Here(tx);
        drop(self.tx.send(Input::Ask { asker, event }));
        // Without an answer the process ends.
        rx.await.unwrap_or(Reply::Refused(Refusal::NotReady))
    }
}

impl Question {
    pub(super) fn event(self, ask: ReplyId) -> Event {
        match self {
            Self::JobRequest(intake) => Event::JobRequest {
                reply_to: ask,
                request: intake,
            },
            Self::Configure(config, content) => Event::Configure {
                reply_to: ask,
                config,
                content,
            },
            Self::Announced(announcement) => Event::Announced {
                reply_to: ask,
                announcement,
            },
            Self::Left(id) => Event::Left { reply_to: ask, id },
            Self::Wave(order) => Event::Wave {
                reply_to: ask,
                order,
            },
        }
    }
}
