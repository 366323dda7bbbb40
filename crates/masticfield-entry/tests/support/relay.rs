//! A relay for datagrams between two entries, which can simulate a network partition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;

/// Forwards datagrams to one entry, or drops them during a partition.
pub struct Relay {
    pub address: SocketAddr,
    partitioned: Arc<AtomicBool>,
    socket: Arc<UdpSocket>,
}

impl Relay {
    pub async fn bind() -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        Self {
            address: socket.local_addr().unwrap(),
            partitioned: Arc::default(),
            socket,
        }
    }

    /// Starts to forward datagrams to the entry at `to`.
    pub fn forward_to(&self, to: SocketAddr) {
        let (socket, partitioned) = (Arc::clone(&self.socket), Arc::clone(&self.partitioned));
        tokio::spawn(async move {
            let mut buf = [0; 2_048];
            while let Ok((len, _from)) = socket.recv_from(&mut buf).await {
                if !partitioned.load(Ordering::Relaxed) {
                    socket.send_to(&buf[..len], to).await.unwrap();
                }
            }
        });
    }

    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }
}
