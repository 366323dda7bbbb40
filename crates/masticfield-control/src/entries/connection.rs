//! The listener for entries and the connection of one entry.

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
use super::lease_actor::{Connected, Disconnected, LeaseActor, RenewLease};
use super::link::Link;
use crate::{ControlHandle, ProposalError};

/// Maximum number of queued messages to an entry.
const SEND_QUEUE_LEN: usize = 256;

/// Time limit for the first message of a connection, which identifies the entry.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// What the connections of entries share.
#[derive(Debug, Clone)]
pub(super) struct ConnectionContext {
    pub control: ControlHandle,
    pub reports: UpstreamReports,
    pub leases: Address<LeaseActor>,
    pub next_number: Arc<AtomicU64>,
    pub keys: Option<Keys>,
}

/// Why a connection ended.
#[derive(Debug, Snafu)]
enum ConnectionError {
    /// The connection failed or carried a malformed message.
    #[snafu(context(false), display("the connection failed"))]
    Wire {
        /// The error of the connection.
        source: WireError,
    },
    /// The peer did not identify itself within [`HELLO_TIMEOUT`].
    #[snafu(display("the peer did not identify itself as an entry"))]
    NoHello,
    /// The entry cannot be registered or the control process is stopping.
    #[snafu(context(false), display("the control process cannot serve the entry"))]
    Control {
        /// The error of the proposal or read.
        source: ProposalError,
    },
    /// A later incarnation of the entry is registered.
    #[snafu(display("a later incarnation of the entry is registered"))]
    Superseded,
    /// The leader closed the connection: it lost the lead, a later connection of the entry replaced
    /// this one, or the send queue was full.
    #[snafu(display("the leader closed the connection"))]
    Closed,
}

struct EntryConnection {
    context: ConnectionContext,
    info: EntryInfo,
    tx: mpsc::Sender<ControlToEntry>,
}

/// Accepts connections until the shutdown begins.
pub(super) async fn serve(
    listener: TcpListener,
    context: ConnectionContext,
    mut shutdown: Shutdown,
) {
    loop {
        let accepted = tokio::select! {
            () = shutdown.requested() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let (context, mut shutdown) = (context.clone(), shutdown.clone());
        tokio::spawn(async move {
            let result = tokio::select! {
                () = shutdown.requested() => return,
                result = handle_connection(stream, context) => result,
            };
            if let Err(error) = result {
                let error = masticfield_node::program::error_chain(&error);
                log::info!(peer:%, error; "entry connection ended");
            }
        });
    }
}

async fn handle_connection(
    stream: TcpStream,
    context: ConnectionContext,
) -> Result<(), ConnectionError> {
    let keys = context.keys.as_ref();
    let accepted = Connection::<EntryToControl, ControlToEntry>::accept_with(stream, keys);
    let mut connection = accepted.await?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.receive()).await;
    let Ok(EntryToControl::Hello(info)) = hello.map_err(|_late| ConnectionError::NoHello)? else {
        return NoHelloSnafu.fail();
    };
    log::info!(entry:% = info.id, zone:% = info.zone; "an entry connected");
    if !register(&context.control, &info).await? {
        let leader = context.control.leader_addresses().await?.entry;
        connection
            .send(&ControlToEntry::NotLeader { leader })
            .await?;
        return Ok(());
    }
    let (mut reader, mut writer) = connection.split();
    let (tx, mut rx) = mpsc::channel::<ControlToEntry>(SEND_QUEUE_LEN);
    tokio::spawn(async move {
        while let Some(msg) = rx.recv().await {
            if writer.send(&msg).await.is_err() {
                return;
            }
        }
    });
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let (open, mut closed) = oneshot::channel();
    let link = Link::new(info.clone(), number, tx.clone(), open);
    let leases = context.leases.clone();
    let entry = info.id;
    let connection = EntryConnection { context, info, tx };
    connection.notify_leases(Connected(link)).await?;
    let result = loop {
        let received = tokio::select! {
            _ = &mut closed => break ClosedSnafu.fail(),
            received = reader.receive() => received,
        };
        let handled = match received {
            Ok(msg) => connection.handle(msg).await,
            Err(error) => Err(error.into()),
        };
        if handled.is_err() {
            break handled;
        }
    };
    // The actor is gone only while the process stops.
    drop(leases.send(Disconnected { entry, number }).await);
    result
}

/// Records an incarnation in the state, so that later leaders know that it may hold a lease.
///
/// Returns false if that was not committed, as another replica may lead.
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
    async fn handle(&self, msg: EntryToControl) -> Result<(), ConnectionError> {
        match msg {
            EntryToControl::Hello(_) => Ok(()),
            EntryToControl::Renew { sequence, version } => {
                let renewal = RenewLease {
                    entry: self.info.id,
                    incarnation: self.info.incarnation,
                    sequence,
                    version,
                };
                self.notify_leases(renewal).await
            }
            EntryToControl::Upstreams { changed, expired } => {
                self.context.reports.record(changed, &expired);
                Ok(())
            }
            EntryToControl::Claims { sequence, claims } => {
                self.decide_claims(sequence, claims);
                Ok(())
            }
            EntryToControl::EndedClaims(ends) => {
                self.record_claim_ends(&ends);
                Ok(())
            }
        }
    }

    async fn notify_leases<M: Send + 'static>(&self, message: M) -> Result<(), ConnectionError>
    where
        LeaseActor: xtra::Handler<M, Return = ()>,
    {
        let sent = self.context.leases.send(message).await;
        sent.map_err(|_gone| ProposalError::Stopping.into())
    }

    /// Decides claims in a task of their own, while further messages are read.
    fn decide_claims(&self, sequence: u64, claims: Vec<Claim>) {
        let (control, tx) = (self.context.control.clone(), self.tx.clone());
        tokio::spawn(async move {
            let verdicts = claim_verdicts(&control, claims).await;
            // An entry that has disconnected repeats its claims over its next connection.
            drop(
                tx.send(ControlToEntry::Verdicts { sequence, verdicts })
                    .await,
            );
        });
    }

    /// Records the ends of claimed requests in a task of its own.
    fn record_claim_ends(&self, ends: &[EndedClaim]) {
        let ends = ends
            .iter()
            .map(|ended| (ended.key, ended.request, ended.end))
            .collect();
        let control = self.context.control.clone();
        tokio::spawn(async move {
            if let Err(error) = control.propose(Command::ClaimEnds(ends)).await {
                let error = masticfield_node::program::error_chain(&error);
                log::warn!(error; "ends of claimed requests were not recorded");
            }
        });
    }
}

/// Proposes claims and returns the verdicts; empty if the claims could not be made durable.
async fn claim_verdicts(control: &ControlHandle, claims: Vec<Claim>) -> Vec<ClaimVerdict> {
    match control.propose(Command::Claims(claims)).await {
        Ok(Reply::Claims(verdicts)) => verdicts,
        Ok(_) => Vec::new(),
        Err(error) => {
            let error = masticfield_node::program::error_chain(&error);
            log::warn!(error; "claims of idempotency keys were not decided");
            Vec::new()
        }
    }
}
