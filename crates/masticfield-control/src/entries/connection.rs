//! The connection of one entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_core::kernel::Shutdown;
use masticfield_core::membership::EntryInfo;
use masticfield_state::{Command, Reply};
use masticfield_wire::control::{ControlToEntry, EndedClaim, EntryToControl};
use masticfield_wire::{Connection, Keys, WireError};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use xtra::Address;

use super::UpstreamReports;
use super::lease_actor::{Connected, Disconnected, LeaseActor, Renewed};
use super::link::Link;
use crate::{ControlHandle, ProposalError};

/// Messages to an entry that wait to be written, at most.
const SEND_QUEUE: usize = 256;

/// Time within which a new connection must say which entry it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// What every connection needs.
#[derive(Debug, Clone)]
pub(super) struct Acceptor {
    pub control: ControlHandle,
    pub reports: UpstreamReports,
    pub leases: Address<LeaseActor>,
    pub next_number: Arc<AtomicU64>,
    pub keys: Option<Keys>,
}

/// Why a connection ended.
#[derive(Debug, Snafu)]
enum ConnectionError {
    /// The connection failed or carried what is no message.
    #[snafu(context(false), display("the connection failed"))]
    Wire {
        /// The cause.
        source: WireError,
    },
    /// The peer did not say in time which entry it is.
    #[snafu(display("the peer did not say which entry it is"))]
    NoHello,
    /// The control process stops.
    #[snafu(context(false), display("the control process cannot answer"))]
    Control {
        /// The cause.
        source: ProposalError,
    },
    /// A later incarnation of the entry is registered.
    #[snafu(display("a later incarnation of the entry is registered"))]
    Superseded,
    /// Another replica leads, or a later connection took the place of this one.
    #[snafu(display("the connection was given up"))]
    GivenUp,
}

struct EntryConnection {
    acceptor: Acceptor,
    info: EntryInfo,
    tx: mpsc::Sender<ControlToEntry>,
}

/// Accepts connections until the shutdown begins.
pub(super) async fn serve(listener: TcpListener, acceptor: Acceptor, mut shutdown: Shutdown) {
    loop {
        let accepted = tokio::select! {
            () = shutdown.begun() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let (acceptor, mut ended) = (acceptor.clone(), shutdown.clone());
        tokio::spawn(async move {
            let result = tokio::select! {
                () = ended.begun() => return,
                result = converse(stream, acceptor) => result,
            };
            if let Err(error) = result {
                let error = masticfield_node::program::chain(&error);
                log::info!(peer:%, error; "entry connection ended");
            }
        });
    }
}

async fn converse(stream: TcpStream, acceptor: Acceptor) -> Result<(), ConnectionError> {
    let keys = acceptor.keys.as_ref();
    let accepted = Connection::<EntryToControl, ControlToEntry>::accept_with(stream, keys);
    let mut connection = accepted.await?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.receive()).await;
    let Ok(EntryToControl::Hello(info)) = hello.map_err(|_late| ConnectionError::NoHello)? else {
        return NoHelloSnafu.fail();
    };
    log::info!(entry:% = info.id, zone:% = info.zone; "an entry connected");
    if !register(&acceptor.control, &info).await? {
        let leader = acceptor.control.leader_addresses().await?.entry;
        connection
            .send(&ControlToEntry::NotLeader { leader })
            .await?;
        return Ok(());
    }
    let (mut reader, mut writer) = connection.split();
    let (tx, mut rx) = mpsc::channel::<ControlToEntry>(SEND_QUEUE);
    tokio::spawn(async move {
        while let Some(msg) = rx.recv().await {
            if writer.send(&msg).await.is_err() {
                return;
            }
        }
    });
    let number = acceptor.next_number.fetch_add(1, Ordering::Relaxed);
    let (alive, mut given_up) = oneshot::channel();
    let link = Link::new(info.clone(), number, tx.clone(), alive);
    let leases = acceptor.leases.clone();
    let entry = info.id;
    let conversation = EntryConnection { acceptor, info, tx };
    conversation.tell(Connected(link)).await?;
    let result = loop {
        let received = tokio::select! {
            _ = &mut given_up => break GivenUpSnafu.fail(),
            received = reader.receive() => received,
        };
        let handled = match received {
            Ok(msg) => conversation.receive(msg).await,
            Err(error) => Err(error.into()),
        };
        if handled.is_err() {
            break handled;
        }
    };
    // An actor that is gone needs no notice.
    drop(leases.send(Disconnected { entry, number }).await);
    result
}

/// Registers an incarnation, so that a later leader knows of it; says whether this one leads.
async fn register(control: &ControlHandle, info: &EntryInfo) -> Result<bool, ConnectionError> {
    let (entry, incarnation) = (info.id, info.incarnation);
    control.await_leader().await;
    match control
        .propose(Command::EntryUp { entry, incarnation })
        .await
    {
        Ok(_verdict) => {}
        Err(ProposalError::Propose { .. } | ProposalError::TimedOut) => return Ok(false),
        Err(error) => return Err(error.into()),
    }
    let latest = control
        .query(move |state| state.entries().latest(entry))
        .await?;
    if latest.is_some_and(|latest| latest > incarnation) {
        return SupersededSnafu.fail();
    }
    Ok(true)
}

impl EntryConnection {
    async fn receive(&self, msg: EntryToControl) -> Result<(), ConnectionError> {
        match msg {
            EntryToControl::Hello(_) => Ok(()),
            EntryToControl::Renew { sequence, version } => {
                let renewed = Renewed {
                    entry: self.info.id,
                    incarnation: self.info.incarnation,
                    sequence,
                    version,
                };
                self.tell(renewed).await
            }
            EntryToControl::Upstreams { changed, expired } => {
                self.acceptor.reports.report(changed, &expired);
                Ok(())
            }
            EntryToControl::Claims { sequence, claims } => {
                self.claim(sequence, claims);
                Ok(())
            }
            EntryToControl::EndedClaims(ends) => {
                self.end(&ends);
                Ok(())
            }
        }
    }

    async fn tell<M: Send + 'static>(&self, message: M) -> Result<(), ConnectionError>
    where
        LeaseActor: xtra::Handler<M, Return = ()>,
    {
        let told = self.acceptor.leases.send(message).await;
        told.map_err(|_gone| ProposalError::Stopping.into())
    }

    /// Proposes claims beside the reading of further messages.
    fn claim(&self, sequence: u64, claims: Vec<Claim>) {
        let (control, tx) = (self.acceptor.control.clone(), self.tx.clone());
        tokio::spawn(async move {
            let verdicts = decide(&control, claims).await;
            // An entry that is gone resends its claims elsewhere.
            drop(
                tx.send(ControlToEntry::Verdicts { sequence, verdicts })
                    .await,
            );
        });
    }

    fn end(&self, ends: &[EndedClaim]) {
        let ends = ends
            .iter()
            .map(|ended| (ended.key, ended.request, ended.end))
            .collect();
        let control = self.acceptor.control.clone();
        tokio::spawn(async move {
            if let Err(error) = control.propose(Command::ClaimEnds(ends)).await {
                let error = masticfield_node::program::chain(&error);
                log::warn!(error; "ends of claimed requests were not recorded");
            }
        });
    }
}

/// The verdicts on claims; none if the claims could not be made durable.
async fn decide(control: &ControlHandle, claims: Vec<Claim>) -> Vec<ClaimVerdict> {
    match control.propose(Command::Claims(claims)).await {
        Ok(Reply::Claims(verdicts)) => verdicts,
        Ok(_) => Vec::new(),
        Err(error) => {
            let error = masticfield_node::program::chain(&error);
            log::warn!(error; "claims were not decided");
            Vec::new()
        }
    }
}
