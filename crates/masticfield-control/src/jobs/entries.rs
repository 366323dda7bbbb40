//! The listener for entries.

use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::Event;
use masticfield_jobs::protocol::{FromEntry, ToEntry};
use masticfield_wire::{Connection, FrameReader, FrameWriter, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::JobControlHandle;
use super::handle::{EntrySession, Input};
use super::reply_handle::ReplyHandle;

/// Time without a message from an entry after which its connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a message to an entry after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of messages in one frame.
const MAX_BATCH: usize = 256;

type EntryConnection = Connection<Vec<FromEntry>, Vec<ToEntry>>;

/// Serves entries until the job control of the handle ends.
pub async fn serve_entries(listener: TcpListener, control: JobControlHandle) {
    let mut number = 0;
    while !control.tx.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                number += 1;
                let control = control.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, number, control).await {
                        log::debug!(error:%; "entry connection ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:%; "cannot accept an entry connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, number: u64, control: JobControlHandle) -> Result<(), WireError> {
    let (mut reader, writer) = EntryConnection::new(stream)?.split();
    let hello = tokio::time::timeout(IDLE_TIMEOUT, reader.receive()).await;
    let Ok(hello) = hello else {
        return Ok(());
    };
    let Some(FromEntry::Hello {
        process,
        sent,
        relay,
    }) = hello?.into_iter().next()
    else {
        return Ok(());
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let (open, closed) = oneshot::channel::<()>();
    let session = EntrySession {
        number,
        tx: tx.clone(),
        relay,
        _open: open,
    };
    drop(control.tx.send(Input::EntryConnected {
        process,
        sent,
        session,
    }));
    let source = (process, number);
    let result = tokio::select! {
        result = send(writer, rx, closed) => result,
        result = receive(reader, &control, source, &tx) => result,
    };
    drop(
        control
            .tx
            .send(Input::EntryDisconnected { session: number }),
    );
    result
}

async fn receive(
    mut reader: FrameReader<Vec<FromEntry>>,
    control: &JobControlHandle,
    (process, session): (u64, u64),
    tx: &mpsc::UnboundedSender<ToEntry>,
) -> Result<(), WireError> {
    loop {
        let received = tokio::time::timeout(IDLE_TIMEOUT, reader.receive()).await;
        let Ok(received) = received else {
            return Ok(());
        };
        drop(control.tx.send(Input::EntryContact { session }));
        for message in received? {
            let input = match message {
                FromEntry::Hello { .. } => continue,
                FromEntry::Request { number, request } => Input::EntryRequest {
                    session,
                    process,
                    reply_handle: ReplyHandle::Entry {
                        tx: tx.clone(),
                        number,
                    },
                    request: request.into(),
                },
                FromEntry::AnnouncedAgain(announcement) => {
                    Input::Event(Event::AnnouncedAgain(announcement))
                }
                FromEntry::CallResult { number, result } => Input::CallResult {
                    session,
                    number,
                    result,
                },
                FromEntry::Heartbeat { sent } => {
                    let stamp = boot_now();
                    drop(tx.send(ToEntry::Clock { sent, stamp }));
                    continue;
                }
            };
            drop(control.tx.send(input));
        }
    }
}

async fn send(
    mut writer: FrameWriter<Vec<ToEntry>>,
    mut rx: mpsc::UnboundedReceiver<ToEntry>,
    mut closed: oneshot::Receiver<()>,
) -> Result<(), WireError> {
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            biased;
            count = rx.recv_many(&mut batch, MAX_BATCH) => if count == 0 {
                return Ok(());
            },
            // The session ends with the leadership. Queued messages are polled first and are sent.
            _ = &mut closed => return Ok(()),
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => batch.push(ToEntry::Heartbeat),
        }
        writer.send(&batch).await?;
        batch.clear();
    }
}
