//! First answers, asked of the entry that made the dispatch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::RequestId;
use masticfield_wire::{Connection, WireError};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use xtra::Address;

use crate::once::{BookActor, Find, Found};

/// Peers that may ask at once.
const MAX_ASKS: usize = 64;

/// Time within which a peer must say what it asks.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the listener failed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Asks for what became of a dispatch.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct AskAnswer {
    /// The dispatch.
    by: RequestId,
    /// How long the asker waits, in milliseconds.
    wait_ms: u64,
}

/// Answers the questions of peers.
pub(super) async fn serve(listener: TcpListener, book: Address<BookActor>) {
    let permits = Arc::new(Semaphore::new(MAX_ASKS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::debug!(error:%; "a peer's connection was not accepted");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        let book = book.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, book).await {
                log::debug!(error:%; "a peer's question was not answered");
            }
            drop(permit);
        });
    }
}

async fn answer(stream: TcpStream, book: Address<BookActor>) -> Result<(), WireError> {
    let mut link = Connection::<AskAnswer, Found>::new(stream)?;
    let asked = tokio::time::timeout(ASK_TIMEOUT, link.receive()).await;
    let Ok(ask) = asked else {
        return Ok(());
    };
    let ask = ask?;
    let found = match book.send(Find(ask.by)).await {
        Ok(found) => tokio::time::timeout(Duration::from_millis(ask.wait_ms), found).await,
        Err(_stopped) => return Ok(()),
    };
    let found = found.ok().and_then(Result::ok).unwrap_or(Found::NotKnown);
    let sent = tokio::time::timeout(ASK_TIMEOUT, link.send(&found)).await;
    sent.unwrap_or(Ok(()))
}

/// Asks the entry at `address` what became of the dispatch `by`, for at most `wait`.
pub(crate) async fn ask_answer(address: SocketAddr, by: RequestId, wait: Duration) -> Found {
    let asked = tokio::time::timeout(wait, ask(address, by, wait)).await;
    match asked {
        Ok(Ok(found)) => found,
        Ok(Err(error)) => {
            log::info!(peer:% = address, error:%; "a peer was not asked for a first answer");
            Found::NotKnown
        }
        Err(_late) => Found::NotKnown,
    }
}

async fn ask(address: SocketAddr, by: RequestId, wait: Duration) -> Result<Found, WireError> {
    let mut link = Connection::<Found, AskAnswer>::connect(address).await?;
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    link.send(&AskAnswer { by, wait_ms }).await?;
    link.receive().await
}
