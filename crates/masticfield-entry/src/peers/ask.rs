//! Lookups of stored responses at the entry that made the dispatch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::RequestId;
use masticfield_wire::{Connection, WireError};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use xtra::Address;

use crate::at_most_once::{LookUp, LookupReply, ResponseStoreActor};

/// Maximum number of lookups that are served at once.
const MAX_CONCURRENT_LOOKUPS: usize = 64;

/// Time limit for receiving a lookup, and for sending its reply.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the listener failed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The message with which an entry looks up a dispatch of a peer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct LookupRequest {
    /// The dispatch.
    dispatch: RequestId,
    /// How long the peer may wait for the end of the dispatch, in milliseconds.
    wait_ms: u64,
}

/// Serves the lookups of peers.
pub(super) async fn serve(listener: TcpListener, responses: Address<ResponseStoreActor>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_LOOKUPS));
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
        let responses = responses.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, responses).await {
                log::debug!(error:%; "a peer's lookup was not answered");
            }
            drop(permit);
        });
    }
}

async fn answer(
    stream: TcpStream,
    responses: Address<ResponseStoreActor>,
) -> Result<(), WireError> {
    let mut connection = Connection::<LookupRequest, LookupReply>::new(stream)?;
    let received = tokio::time::timeout(MESSAGE_TIMEOUT, connection.receive()).await;
    let Ok(request) = received else {
        return Ok(());
    };
    let request = request?;
    let reply = match responses.send(LookUp(request.dispatch)).await {
        Ok(reply) => tokio::time::timeout(Duration::from_millis(request.wait_ms), reply).await,
        Err(_stopped) => return Ok(()),
    };
    let reply = reply
        .ok()
        .and_then(Result::ok)
        .unwrap_or(LookupReply::Unknown);
    let sent = tokio::time::timeout(MESSAGE_TIMEOUT, connection.send(&reply)).await;
    sent.unwrap_or(Ok(()))
}

/// Looks up `dispatch` at the entry at `address`, waiting for its end for at most `wait`.
///
/// A peer that cannot be reached counts as one that does not know the dispatch.
pub(crate) async fn look_up_response(
    address: SocketAddr,
    dispatch: RequestId,
    wait: Duration,
) -> LookupReply {
    let looked_up = tokio::time::timeout(wait, look_up(address, dispatch, wait)).await;
    match looked_up {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            log::info!(peer:% = address, error:%; "lookup of a response at a peer failed");
            LookupReply::Unknown
        }
        Err(_elapsed) => LookupReply::Unknown,
    }
}

async fn look_up(
    address: SocketAddr,
    dispatch: RequestId,
    wait: Duration,
) -> Result<LookupReply, WireError> {
    let mut connection = Connection::<LookupReply, LookupRequest>::connect(address).await?;
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    connection
        .send(&LookupRequest { dispatch, wait_ms })
        .await?;
    connection.receive().await
}
