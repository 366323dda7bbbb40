//! The connection of one entry.

use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_core::kernel::Shutdown;
use masticfield_core::membership::EntryInfo;
use masticfield_state::{Command, Reply};
use masticfield_wire::control::{ControlToEntry, EndedClaim, EntryToControl};
use masticfield_wire::{Connection, WireError};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::EntryRegistry;
use crate::{ControlHandle, ProposalError};

/// Messages to an entry that wait to be written, at most.
const SEND_QUEUE: usize = 256;

/// Time within which a new connection must say which entry it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// What every connection needs.
#[derive(Debug, Clone)]
pub(super) struct Acceptor {
    pub control: ControlHandle,
    pub registry: EntryRegistry,
    pub lease: Duration,
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
    /// The writing half is gone.
    #[snafu(display("the connection cannot be written"))]
    Unwritable,
}

struct EntryConnection {
    acceptor: Acceptor,
    info: EntryInfo,
    tx: mpsc::Sender<ControlToEntry>,
    sent_version: u64,
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
                log::info!(peer:%, error; "the connection of an entry ended");
            }
        });
    }
}

async fn converse(stream: TcpStream, acceptor: Acceptor) -> Result<(), ConnectionError> {
    let mut connection = Connection::<EntryToControl, ControlToEntry>::new(stream)?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.receive()).await;
    let Ok(EntryToControl::Hello(info)) = hello.map_err(|_late| ConnectionError::NoHello)? else {
        return NoHelloSnafu.fail();
    };
    log::info!(entry:% = info.id, zone:% = info.zone; "an entry connected");
    let (mut reader, mut writer) = connection.split();
    let (tx, mut rx) = mpsc::channel::<ControlToEntry>(SEND_QUEUE);
    tokio::spawn(async move {
        while let Some(msg) = rx.recv().await {
            if writer.send(&msg).await.is_err() {
                return;
            }
        }
    });
    let mut version = acceptor.control.version();
    let mut entry = EntryConnection {
        acceptor,
        info,
        tx,
        sent_version: 0,
    };
    loop {
        tokio::select! {
            msg = reader.receive() => entry.receive(msg?).await?,
            changed = version.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                entry.send_config().await?;
            }
        }
    }
}

impl EntryConnection {
    async fn receive(&mut self, msg: EntryToControl) -> Result<(), ConnectionError> {
        match msg {
            EntryToControl::Hello(info) => self.info = info,
            EntryToControl::Renew { sequence, version } => self.renew(sequence, version).await?,
            EntryToControl::Upstreams { changed, expired } => {
                self.acceptor.registry.report(changed, &expired);
            }
            EntryToControl::Claims { sequence, claims } => self.claim(sequence, claims),
            EntryToControl::Ends(ends) => self.end(&ends),
        }
        Ok(())
    }

    async fn renew(&mut self, sequence: u64, version: u64) -> Result<(), ConnectionError> {
        if !self.acceptor.control.leads() {
            return self.send(ControlToEntry::NotLeader { leader: None }).await;
        }
        let ttl = self.acceptor.lease;
        self.acceptor.registry.renew(&self.info, version, ttl);
        self.send_config().await?;
        let version = self.sent_version;
        self.send(ControlToEntry::Lease {
            sequence,
            version,
            ttl,
        })
        .await
    }

    /// Sends the configuration if the entry was not sent this version yet.
    async fn send_config(&mut self) -> Result<(), ConnectionError> {
        let config = self
            .acceptor
            .control
            .query(|state| state.config().clone())
            .await?;
        if config.version() == 0 || config.version() == self.sent_version {
            return Ok(());
        }
        self.sent_version = config.version();
        self.send(ControlToEntry::Config(Box::new(config))).await
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
            if let Err(error) = control.propose(Command::Ends(ends)).await {
                let error = masticfield_node::program::chain(&error);
                log::warn!(error; "ends of claimed requests were not recorded");
            }
        });
    }

    async fn send(&self, msg: ControlToEntry) -> Result<(), ConnectionError> {
        self.tx
            .send(msg)
            .await
            .map_err(|_closed| ConnectionError::Unwritable)
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
