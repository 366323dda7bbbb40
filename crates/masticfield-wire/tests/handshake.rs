//! Tests of the keyed handshake against strangers, old keys and replayed frames.

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

type Text = Connection<String, String>;

fn keys(texts: &[&str]) -> Keys {
    Keys::parse(texts.join("\n")).unwrap()
}

/// What the two sides of a handshake came to.
async fn shake(client: &Keys, server: &Keys) -> (Result<Text, WireError>, Result<Text, WireError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        Text::accept_keyed(stream, server).await
    };
    tokio::join!(Text::connect_keyed(address, client), accept)
}

#[rstest]
#[case::same(&[OLD], &[OLD])]
#[case::client_is_ahead(&[OLD, NEW], &[OLD])]
#[case::server_is_ahead(&[OLD], &[NEW, OLD])]
#[case::both_rotate(&[OLD, NEW], &[NEW, OLD])]
#[tokio::test]
async fn common_key_opens(#[case] client: &[&str], #[case] server: &[&str]) {
    let (client, server) = shake(&keys(client), &keys(server)).await;
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
#[case::old_key_was_withdrawn(&[OLD], &[NEW])]
#[tokio::test]
async fn other_key_is_refused(#[case] client: &[&str], #[case] server: &[&str]) {
    let (client, server) = shake(&keys(client), &keys(server)).await;
    let wrong = HandshakeFailure::WrongKey;
    assert_matches!(client, Err(WireError::Handshake { failure }) if failure == wrong);
    assert_matches!(server, Err(_));
}

/// Lets a stranger write to a server; returns what the server came to.
async fn stranger(write: impl AsyncFnOnce(&mut TcpStream)) -> Result<Text, WireError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async {
        let (stream, _) = listener.accept().await.unwrap();
        Text::accept_keyed(stream, &keys(&[OLD])).await
    };
    let attack = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        write(&mut stream).await;
        // The server is heard out, so that it fails for what it read.
        stream.shutdown().await.unwrap();
        drop(stream.read_to_end(&mut Vec::new()).await);
    };
    let (accepted, ()) = tokio::join!(accept, attack);
    accepted
}

fn frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_be_bytes(), body].concat()
}

#[rstest]
#[case::nothing(vec![])]
#[case::garbage(vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3])]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::empty_frame(frame(&[]))]
#[case::other_version(frame(&[WIRE_VERSION + 1; 33]))]
#[case::short_nonce(frame(&[WIRE_VERSION; 9]))]
#[case::long_nonce(frame(&[WIRE_VERSION; 64]))]
#[case::oversized(frame(&[WIRE_VERSION; 257]))]
#[case::oversized_length_alone((u32::try_from(MAX_FRAME_BYTES).unwrap()).to_be_bytes().to_vec())]
#[case::made_up_proof([frame(&[WIRE_VERSION; 33]), frame(&[WIRE_VERSION; 33])].concat())]
#[tokio::test]
async fn stranger_is_refused(#[case] bytes: Vec<u8>) {
    let accepted = stranger(async |stream| stream.write_all(&bytes).await.unwrap()).await;
    assert_matches!(accepted, Err(_));
}

#[tokio::test]
async fn without_the_handshake_a_stranger_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stranger = Text::connect(listener.local_addr().unwrap()).await.unwrap();
    stranger.send(&"vote".to_owned()).await.unwrap();
    let mut server = Text::new(listener.accept().await.unwrap().0).unwrap();
    assert_eq!(server.receive().await.unwrap(), "vote");
}

#[tokio::test]
async fn replayed_handshake_is_refused() {
    let recorded = record(&["hello"]).await;
    let replayed = stranger(async |stream| {
        stream.write_all(&recorded.concat()).await.unwrap();
    });
    let failure = HandshakeFailure::WrongKey;
    assert_matches!(replayed.await, Err(WireError::Handshake { failure: seen }) if seen == failure);
}

#[tokio::test(start_paused = true)]
async fn silent_stranger_is_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let _stranger = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let accepted = Text::accept_keyed(stream, &keys(&[OLD])).await;
    let late = HandshakeFailure::TimedOut;
    assert_matches!(accepted, Err(WireError::Handshake { failure }) if failure == late);
}

/// Frames of a client that sends texts to a server, as a relay between them sees them.
async fn record(texts: &[&str]) -> Vec<Vec<u8>> {
    relay(texts, |frames| frames).await.0
}

/// Sends texts through a relay that changes the frames after the handshake.
async fn relay(
    texts: &[&str],
    change: impl FnOnce(Vec<Vec<u8>>) -> Vec<Vec<u8>>,
) -> (Vec<Vec<u8>>, Vec<Result<String, WireError>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (behind, before) = (listener.local_addr().unwrap(), front.local_addr().unwrap());
    let client = async {
        let mut client = Text::connect_keyed(before, &keys(&[OLD])).await.unwrap();
        for text in texts {
            client.send(&(*text).to_owned()).await.unwrap();
        }
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut server = Text::accept_keyed(stream, &keys(&[OLD])).await.unwrap();
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
    let between = async {
        let codec = LengthDelimitedCodec::new;
        let mut client = Framed::new(front.accept().await.unwrap().0, codec());
        let mut server = Framed::new(TcpStream::connect(behind).await.unwrap(), codec());
        let mut recorded = Vec::new();
        for is_client in [true, false, true] {
            let (from, to) = if is_client {
                (&mut client, &mut server)
            } else {
                (&mut server, &mut client)
            };
            let bytes = from.next().await.unwrap().unwrap().freeze();
            to.send(bytes.clone()).await.unwrap();
            if is_client {
                recorded.push(frame(&bytes));
            }
        }
        let mut frames = Vec::new();
        while let Some(Ok(bytes)) = client.next().await {
            frames.push(bytes.to_vec());
        }
        recorded.extend(frames.iter().map(|bytes| frame(bytes)));
        for bytes in change(frames) {
            // The server may have closed after a forged frame.
            drop(server.send(Bytes::from(bytes)).await);
        }
        recorded
    };
    let ((), received, recorded) = tokio::join!(client, server, between);
    (recorded, received)
}

#[rstest]
#[case::untouched(|frames: Vec<Vec<u8>>| frames, 2, false)]
#[case::flipped(|mut frames: Vec<Vec<u8>>| { frames[1][2] ^= 1; frames }, 1, true)]
#[case::crossed(|mut frames: Vec<Vec<u8>>| { frames.swap(0, 1); frames }, 0, true)]
#[case::doubled(|frames: Vec<Vec<u8>>| vec![frames[0].clone(), frames[0].clone()], 1, true)]
#[case::left_out(|frames: Vec<Vec<u8>>| vec![frames[1].clone()], 0, true)]
#[case::cut_short(|mut frames: Vec<Vec<u8>>| { frames[0].truncate(9); frames }, 0, true)]
#[tokio::test]
async fn changed_frames_are_refused(
    #[case] change: fn(Vec<Vec<u8>>) -> Vec<Vec<u8>>,
    #[case] whole: usize,
    #[case] forged: bool,
) {
    let (_, received) = relay(&["one", "two"], change).await;
    let texts = received.iter().filter(|text| text.is_ok()).count();
    assert_eq!(texts, whole);
    let last = received.last().unwrap();
    assert_eq!(matches!(last, Err(WireError::Forged)), forged);
}

#[rstest]
#[case::none("# only a remark\n\n", KeyError::Count { count: 0 })]
#[case::three(&[OLD, NEW, OTHER].join("\n"), KeyError::Count { count: 3 })]
#[case::short(&format!("{OLD}\nshort"), KeyError::Short { number: 2, bytes: 5 })]
fn unusable_keys_are_refused(#[case] text: &str, #[case] expected: KeyError) {
    assert_eq!(Keys::parse(text).unwrap_err(), expected);
}

#[test]
fn keys_are_not_printed() {
    let printed = format!("{:?}", keys(&[OLD, NEW]));
    assert!(!printed.contains("enough"), "{printed}");
}
