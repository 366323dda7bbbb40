//! The TCP user timeout is set on connections.

use masticfield_wire::{USER_TIMEOUT, set_user_timeout};
use rustix::net::sockopt::tcp_user_timeout;
use tokio::net::{TcpListener, TcpStream};

/// Without the option, an election was delayed by 25 s: a connection that had been cut for as long
/// was still in use.
#[tokio::test]
async fn connection_fails_when_sent_bytes_stay_unacknowledged() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    assert_eq!(tcp_user_timeout(&stream).unwrap(), 0);
    set_user_timeout(&stream).unwrap();
    let millis = u128::from(tcp_user_timeout(&stream).unwrap());
    assert_eq!(millis, USER_TIMEOUT.as_millis());
}
