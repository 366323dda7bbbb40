//! A TCP proxy on loopback.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::LinkState;
use super::link_state::Passage;
use crate::SoakError;
use crate::error::IoSnafu;

/// A TCP proxy; it and its connections end when it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of connections so far.
    connections: Arc<AtomicU64>,
}

impl Proxy {
    /// Listens at `ip`, on a port of the system's choice, and forwards connections to `target`.
    pub(crate) async fn start(ip: IpAddr, target: SocketAddr) -> Result<Self, SoakError> {
        let listener = TcpListener::bind((ip, 0)).await;
        let listener = listener.context(IoSnafu { what: "a proxy" })?;
        let address = listener.local_addr().context(IoSnafu { what: "a proxy" })?;
        let (state, rx) = watch::channel(LinkState::default());
        let connections = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, rx, Arc::clone(&connections)));
        Ok(Self {
            address,
            state,
            connections,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how connections are treated.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// Resets the open connections.
    pub(crate) fn reset(&self) {
        let last = self.connections.load(Ordering::SeqCst);
        self.change(|state| state.reset_up_to = last);
    }

    /// Lets the open connections be silent for good.
    pub(crate) fn silence_open(&self) {
        let last = self.connections.load(Ordering::SeqCst);
        self.change(|state| state.silent_up_to = last);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    connections: Arc<AtomicU64>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = state.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok((stream, _)) = accepted else { continue };
        let number = connections.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::spawn(forward(stream, target, number, state.clone()));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    number: u64,
    state: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without `TCP_NODELAY`, a connection is only slower.
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let forward = pump(from_client, to_server, number, 0, state.clone());
    let backward = pump(from_server, to_client, number, 1, state);
    // The end of one direction ends the connection: HTTP clients do not close half of one.
    tokio::select! {
        () = forward => {}
        () = backward => {}
    }
}

/// Copies bytes in one direction until the connection ends or is reset.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    direction: usize,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let passage = state.borrow_and_update().passage(number, direction);
        if passage == Passage::Reset {
            return reset(&from, &to);
        }
        let length = tokio::select! {
            read = from.read(&mut buf) => match read {
                Ok(0) | Err(_) => 0,
                Ok(length) => length,
            },
            changed = state.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        // While a link is cut, the end of a connection does not arrive either.
        loop {
            let passage = state.borrow_and_update().passage(number, direction);
            match passage {
                Passage::Reset => return reset(&from, &to),
                Passage::Wait => {
                    if state.changed().await.is_err() {
                        return;
                    }
                }
                Passage::Send(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
            }
        }
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}

/// Lets both connections be reset when they are closed, which follows.
fn reset(from: &OwnedReadHalf, to: &OwnedWriteHalf) {
    // Fails only if the connection has ended.
    drop(from.as_ref().set_zero_linger());
    drop(to.as_ref().set_zero_linger());
}
