//! The listener for entries.

use std::time::Duration;

use masticfield_jobs::protocol::{FromEntry, ToEntry};
use masticfield_wire::{Connection, FrameReader, FrameWriter, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::JobControlHandle;
use super::asker::Asker;
use super::handle::{EntrySession, Input, Question};

/// Longest silence of an entry before its connection is closed.
const SILENCE: Duration = Duration::from_secs(2);

/// Time between two signs that a connection works.
const ALIVE_EVERY: Duration = Duration::from_millis(400);

/// Wait after a connection could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Messages that one frame carries, at most.
const MAX_BATCH: usize = 256;

type Entry = Connection<Vec<FromEntry>, Vec<ToEntry>>;

/// Serves entries until the handle's job control ends.
pub async fn serve_entries(listener: TcpListener, control: JobControlHandle) {
    let mut number = 0;
    while !control.tx.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                number += 1;
                let control = control.clone();
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, number, control).await {
                        log::debug!(error:%; "the connection of an entry ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:%; "the connection of an entry was not accepted");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, number: u64, control: JobControlHandle) -> Result<(), WireError> {
    let (mut reader, writer) = Entry::new(stream)?.split();
    let hello = tokio::time::timeout(SILENCE, reader.receive()).await;
    let Ok(hello) = hello else {
        return Ok(());
    };
    let Some(FromEntry::Hello { process }) = hello?.into_iter().next() else {
        return Ok(());
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let (open, closed) = oneshot::channel::<()>();
    let session = EntrySession {
        number,
        tx: tx.clone(),
        _open: open,
    };
    drop(control.tx.send(Input::Entry { process, session }));
    let from = (process, number);
    tokio::select! {
        result = send(writer, rx, closed) => result,
        result = receive(reader, &control, from, &tx) => result,
    }
}

async fn receive(
    mut reader: FrameReader<Vec<FromEntry>>,
    control: &JobControlHandle,
    (process, session): (u64, u64),
    tx: &mpsc::UnboundedSender<ToEntry>,
) -> Result<(), WireError> {
    loop {
        let received = tokio::time::timeout(SILENCE, reader.receive()).await;
        let Ok(received) = received else {
            return Ok(());
        };
        for message in received? {
            let FromEntry::Request {
                number,
                request: intake,
            } = message
            else {
                continue;
            };
            let tx = tx.clone();
            drop(control.tx.send(Input::EntryAsk {
                session,
                process,
                asker: Asker::Entry { tx, number },
                event: Question::JobRequest(intake),
            }));
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
            // The leadership is over, and everything that was said in it is sent.
            _ = &mut closed => return Ok(()),
            () = tokio::time::sleep(ALIVE_EVERY) => batch.push(ToEntry::Heartbeat),
        }
        writer.send(&batch).await?;
        batch.clear();
    }
}
