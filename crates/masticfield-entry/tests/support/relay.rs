//! A relay of datagrams between two entries that can be cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;

/// Passes datagrams to one entry, unless it is cut.
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    socket: Arc<UdpSocket>,
}

impl Relay {
    pub async fn bind() -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        Self {
            address: socket.local_addr().unwrap(),
            cut: Arc::default(),
            socket,
        }
    }

    /// Begins to pass on what arrives to the entry at `to`.
    pub fn pass_to(&self, to: SocketAddr) {
        let (socket, cut) = (Arc::clone(&self.socket), Arc::clone(&self.cut));
        tokio::spawn(async move {
            let mut buf = [0; 2_048];
            while let Ok((len, _from)) = socket.recv_from(&mut buf).await {
                if !cut.load(Ordering::Relaxed) {
                    socket.send_to(&buf[..len], to).await.unwrap();
                }
            }
        });
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}
