//! Connections between processes fail when their peer goes silent.

use masticfield_wire::{UNACKNOWLEDGED, fail_on_silence};
use rustix::net::sockopt::tcp_user_timeout;
use tokio::net::{TcpListener, TcpStream};

/// Without the option, an election waited 25 s for a connection that had been cut as long.
#[tokio::test]
async fn bytes_without_an_acknowledgement_end_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    assert_eq!(tcp_user_timeout(&stream).unwrap(), 0);
    fail_on_silence(&stream).unwrap();
    let millis = u128::from(tcp_user_timeout(&stream).unwrap());
    assert_eq!(millis, UNACKNOWLEDGED.as_millis());
}
