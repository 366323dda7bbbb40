//! Tests of the handshake with wrong keys, malformed input, and replayed or changed frames.

use assert_matches::assert_matches;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use masticfield_wire::{
    Connection, HandshakeFailure, KeyError, Keys, MAX_FRAME_BYTES, WIRE_VERSION, WireError,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const OLD: &str = "an old key that has enough bytes.";
const NEW: &str = "a new key that has enough bytes, too";
const OTHER: &str = "the key of another installation....";

type TextConnection = Connection<String, String>;

fn keys(texts: &[&str]) -> Keys {
    Keys::parse(texts.join("\n")).unwrap()
}

/// Results of a handshake on the side of the client and of the server.
async fn handshake(
    client: &Keys,
    server: &Keys,
) -> (
    Result<TextConnection, WireError>,
    Result<TextConnection, WireError>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        TextConnection::accept_authenticated(stream, server).await
    };
    tokio::join!(
        TextConnection::connect_authenticated(address, client),
        accept
    )
}

#[rstest]
#[case::same_key(&[OLD], &[OLD])]
#[case::client_has_new_key(&[OLD, NEW], &[OLD])]
#[case::server_has_new_key(&[OLD], &[NEW, OLD])]
#[case::both_have_new_key(&[OLD, NEW], &[NEW, OLD])]
#[tokio::test]
async fn common_key_opens_a_connection(#[case] client: &[&str], #[case] server: &[&str]) {
    let (client, server) = handshake(&keys(client), &keys(server)).await;
    let (mut client, mut server) = (client.unwrap(), server.unwrap());
    for number in 0..3 {
        client.send(&format!("to server {number}")).await.unwrap();
        server.send(&format!("to client {number}")).await.unwrap();
        assert_eq!(
            server.receive().await.unwrap(),
            format!("to server {number}")
        );
        assert_eq!(
            client.receive().await.unwrap(),
            format!("to client {number}")
        );
    }
}

#[rstest]
#[case::other_key(&[OTHER], &[OLD])]
#[case::old_key_was_removed(&[OLD], &[NEW])]
#[tokio::test]
async fn wrong_key_is_refused(#[case] client: &[&str], #[case] server: &[&str]) {
    let (client, server) = handshake(&keys(client), &keys(server)).await;
    let expected = HandshakeFailure::WrongKey;
    assert_matches!(client, Err(WireError::Handshake { failure }) if failure == expected);
    assert_matches!(server, Err(_));
}

/// Lets an unauthenticated client write to a server; returns the result of the server.
async fn accept_unauthenticated(
    write: impl AsyncFnOnce(&mut TcpStream),
) -> Result<TextConnection, WireError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        TextConnection::accept_authenticated(stream, &keys(&[OLD])).await
    };
    let client = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        write(&mut stream).await;
        // Read to the end, so that the server fails on the input and not on a reset.
        stream.shutdown().await.unwrap();
        drop(stream.read_to_end(&mut Vec::new()).await);
    };
    let (accepted, ()) = tokio::join!(accept, client);
    accepted
}

fn frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_be_bytes(), body].concat()
}

#[rstest]
#[case::no_input(vec![])]
#[case::tls_client_hello(vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3])]
#[case::http_request(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::empty_frame(frame(&[]))]
#[case::other_version(frame(&[WIRE_VERSION + 1; 33]))]
#[case::short_nonce(frame(&[WIRE_VERSION; 9]))]
#[case::long_nonce(frame(&[WIRE_VERSION; 64]))]
#[case::oversized_frame(frame(&[WIRE_VERSION; 257]))]
#[case::oversized_length_alone((u32::try_from(MAX_FRAME_BYTES).unwrap()).to_be_bytes().to_vec())]
#[case::invented_proof([frame(&[WIRE_VERSION; 33]), frame(&[WIRE_VERSION; 33])].concat())]
#[tokio::test]
async fn unauthenticated_client_is_refused(#[case] bytes: Vec<u8>) {
    let accepted =
        accept_unauthenticated(async |stream| stream.write_all(&bytes).await.unwrap()).await;
    assert_matches!(accepted, Err(_));
}

#[tokio::test]
async fn client_is_accepted_without_keys() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TextConnection::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    client.send(&"vote".to_owned()).await.unwrap();
    let mut server = TextConnection::new(listener.accept().await.unwrap().0).unwrap();
    assert_eq!(server.receive().await.unwrap(), "vote");
}

#[tokio::test]
async fn replayed_handshake_is_refused() {
    let recorded = record(&["hello"]).await;
    let replayed = accept_unauthenticated(async |stream| {
        stream.write_all(&recorded.concat()).await.unwrap();
    });
    let expected = HandshakeFailure::WrongKey;
    assert_matches!(replayed.await, Err(WireError::Handshake { failure }) if failure == expected);
}

#[tokio::test(start_paused = true)]
async fn silent_client_is_refused_after_the_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let _client = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let accepted = TextConnection::accept_authenticated(stream, &keys(&[OLD])).await;
    let expected = HandshakeFailure::TimedOut;
    assert_matches!(accepted, Err(WireError::Handshake { failure }) if failure == expected);
}

/// Frames that a client sends to a server, recorded by a relay between them.
async fn record(texts: &[&str]) -> Vec<Vec<u8>> {
    relay(texts, |frames| frames).await.0
}

/// Sends texts through a relay that changes the frames after the handshake.
///
/// Returns the frames of the client, and what the server received up to the first error.
async fn relay(
    texts: &[&str],
    change: impl FnOnce(Vec<Vec<u8>>) -> Vec<Vec<u8>>,
) -> (Vec<Vec<u8>>, Vec<Result<String, WireError>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server_address, relay_address) = (
        listener.local_addr().unwrap(),
        relay_listener.local_addr().unwrap(),
    );
    let client = async {
        let mut client = TextConnection::connect_authenticated(relay_address, &keys(&[OLD]))
            .await
            .unwrap();
        for text in texts {
            client.send(&(*text).to_owned()).await.unwrap();
        }
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut server = TextConnection::accept_authenticated(stream, &keys(&[OLD]))
            .await
            .unwrap();
        let mut received = Vec::new();
        loop {
            match server.receive().await {
                Err(WireError::Closed) => return received,
                text => received.push(text),
            }
            if received.last().is_some_and(Result::is_err) {
                return received;
            }
        }
    };
    let relay = async {
        let codec = LengthDelimitedCodec::new;
        let mut client = Framed::new(relay_listener.accept().await.unwrap().0, codec());
        let mut server = Framed::new(TcpStream::connect(server_address).await.unwrap(), codec());
        let mut recorded = Vec::new();
        for from_client in [true, false, true] {
            let (from, to) = if from_client {
                (&mut client, &mut server)
            } else {
                (&mut server, &mut client)
            };
            let bytes = from.next().await.unwrap().unwrap().freeze();
            to.send(bytes.clone()).await.unwrap();
            if from_client {
                recorded.push(frame(&bytes));
            }
        }
        let mut frames = Vec::new();
        while let Some(Ok(bytes)) = client.next().await {
            frames.push(bytes.to_vec());
        }
        recorded.extend(frames.iter().map(|bytes| frame(bytes)));
        for bytes in change(frames) {
            // The server may have closed the connection after an invalid frame.
            drop(server.send(Bytes::from(bytes)).await);
        }
        recorded
    };
    let ((), received, recorded) = tokio::join!(client, server, relay);
    (recorded, received)
}

#[rstest]
#[case::unchanged(|frames: Vec<Vec<u8>>| frames, 2, false)]
#[case::flipped_bit(|mut frames: Vec<Vec<u8>>| { frames[1][2] ^= 1; frames }, 1, true)]
#[case::swapped(|mut frames: Vec<Vec<u8>>| { frames.swap(0, 1); frames }, 0, true)]
#[case::repeated(|frames: Vec<Vec<u8>>| vec![frames[0].clone(), frames[0].clone()], 1, true)]
#[case::missing(|frames: Vec<Vec<u8>>| vec![frames[1].clone()], 0, true)]
#[case::truncated(|mut frames: Vec<Vec<u8>>| { frames[0].truncate(9); frames }, 0, true)]
#[tokio::test]
async fn changed_frames_are_refused(
    #[case] change: fn(Vec<Vec<u8>>) -> Vec<Vec<u8>>,
    #[case] intact: usize,
    #[case] forged: bool,
) {
    let (_, received) = relay(&["one", "two"], change).await;
    let texts = received.iter().filter(|text| text.is_ok()).count();
    assert_eq!(texts, intact);
    let last = received.last().unwrap();
    assert_eq!(matches!(last, Err(WireError::Forged)), forged);
}

#[rstest]
#[case::no_key("# only a comment\n\n", KeyError::Count { count: 0 })]
#[case::too_many_keys(&[OLD, NEW, OTHER].join("\n"), KeyError::Count { count: 3 })]
#[case::too_short(&format!("{OLD}\nshort"), KeyError::TooShort { number: 2, bytes: 5 })]
fn invalid_keys_are_refused(#[case] text: &str, #[case] expected: KeyError) {
    assert_eq!(Keys::parse(text).unwrap_err(), expected);
}

#[test]
fn keys_are_not_printed() {
    let printed = format!("{:?}", keys(&[OLD, NEW]));
    assert!(!printed.contains("enough"), "{printed}");
}
