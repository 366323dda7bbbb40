//! Reading request bodies within the budget of a process.

use std::convert::Infallible;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use http_body_util::channel::{Channel, Sender};
use masticfield_node::http::{Bodies, BodyError, ResourceBounds, STALL_TIME, read_body};
use rstest::rstest;

const KB: usize = 1024;

/// Time limit that no body of these tests reaches.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Number of turns in which a reader takes all chunks that have arrived.
const YIELDS: usize = 100;

/// Bounds with 400 KiB for bodies, of which 350 KiB are for large ones.
fn bounds() -> ResourceBounds {
    ResourceBounds::new(Some(2_134 * KB as u64), None)
}

fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(vec![b'x'; bytes].into())
}

/// Starts to read a body of which `bytes` arrive, and which stays open.
async fn unfinished(
    bodies: &Bodies,
    bytes: usize,
) -> (
    Sender<Bytes, Infallible>,
    tokio::task::JoinHandle<Result<usize, BodyError>>,
) {
    let (mut tx, body) = Channel::new(1);
    let reader = bodies.clone();
    let read = tokio::spawn(async move {
        let body = reader.read(body, 1024 * KB, TIMEOUT).await?;
        Ok(body.len())
    });
    tx.send_data(vec![b'x'; bytes].into()).await.unwrap();
    while bodies.held() < bytes {
        tokio::task::yield_now().await;
    }
    (tx, read)
}

#[tokio::test]
async fn chunks_of_one_byte_hold_at_most_twice_what_arrived() {
    let bodies = Bodies::new(bounds());
    let (mut tx, read) = unfinished(&bodies, 1).await;
    for _ in 1..64 * KB {
        tx.send_data(Bytes::from_static(b"x")).await.unwrap();
    }
    assert!(bodies.held() <= 128 * KB, "{} bytes", bodies.held());
    drop(tx);
    assert_matches!(read.await.unwrap(), Ok(len) if len == 64 * KB);
}

#[tokio::test]
async fn a_chunk_does_not_keep_the_buffer_that_it_arrived_in() {
    let buffer = Bytes::from(vec![b'x'; 64 * KB]);
    let (mut tx, body) = Channel::<_, Infallible>::new(1);
    let read = tokio::spawn(read_body(body, 1024 * KB, TIMEOUT));
    tx.send_data(buffer.slice(..1)).await.unwrap();
    tx.send_data(buffer.slice(1..2)).await.unwrap();
    for _ in 0..YIELDS {
        tokio::task::yield_now().await;
    }
    assert!(buffer.is_unique());
    drop(tx);
    assert_eq!(read.await.unwrap().unwrap(), "xx");
}

#[tokio::test]
async fn a_body_holds_memory_until_its_request_is_handled() {
    let bodies = Bodies::new(bounds());
    let first = bodies.read(whole(300 * KB), 1024 * KB, TIMEOUT).await;
    let first = first.unwrap();
    assert_eq!((first.len(), bodies.held()), (300 * KB, 300 * KB));
    let second = bodies.read(whole(100 * KB), 1024 * KB, TIMEOUT).await;
    assert_matches!(second, Err(BodyError::NoRoom));
    let clone = first.clone();
    drop(first);
    assert_eq!(bodies.held(), 300 * KB);
    drop(clone);
    assert_eq!(bodies.held(), 0);
    let third = bodies.read(whole(100 * KB), 1024 * KB, TIMEOUT).await;
    assert_matches!(third, Ok(_));
}

#[tokio::test]
async fn a_stalled_body_is_given_up_when_another_one_needs_its_memory() {
    let bodies = Bodies::new(bounds());
    let (_tx, stalled) = unfinished(&bodies, 300 * KB).await;
    tokio::time::sleep(STALL_TIME).await;
    assert!(!stalled.is_finished());
    let other = bodies.read(whole(200 * KB), 1024 * KB, TIMEOUT).await;
    assert_matches!(other, Ok(_));
    assert_matches!(stalled.await.unwrap(), Err(BodyError::GivenUp));
    assert_eq!(bodies.held(), 200 * KB);
}

#[tokio::test]
async fn large_bodies_leave_room_for_small_ones() {
    let bodies = Bodies::new(bounds());
    let large = bodies.read(whole(340 * KB), 1024 * KB, TIMEOUT).await;
    let second = bodies.read(whole(20 * KB), 1024 * KB, TIMEOUT).await;
    let small = bodies.read(whole(16 * KB), 1024 * KB, TIMEOUT).await;
    assert_matches!(
        (large, second, small),
        (Ok(_), Err(BodyError::NoRoom), Ok(_))
    );
}

#[tokio::test]
async fn decoded_content_counts_until_the_request_is_handled() {
    let bodies = Bodies::new(bounds());
    let body = bodies.read(whole(100 * KB), 1024 * KB, TIMEOUT).await;
    let body = body.unwrap();
    assert_matches!(body.charge_decoded(900 * KB), Err(BodyError::NoRoom));
    assert_eq!(bodies.held(), 100 * KB);
    assert_matches!(body.charge_decoded(200 * KB), Ok(()));
    assert_eq!(bodies.held(), 300 * KB);
    drop(body);
    assert_eq!(bodies.held(), 0);
}

#[tokio::test]
async fn a_body_that_declares_too_much_is_refused_at_once() {
    let bodies = Bodies::new(bounds());
    let read = bodies.read(whole(11), 10, TIMEOUT).await;
    assert_matches!(read, Err(BodyError::TooLarge { limit: 10 }));
    let read = read_body(whole(11), 10, TIMEOUT).await;
    assert_matches!(read, Err(BodyError::TooLarge { limit: 10 }));
    assert_eq!(bodies.held(), 0);
}

#[tokio::test]
async fn a_body_that_arrives_too_slowly_holds_nothing_afterwards() {
    let bodies = Bodies::new(bounds());
    let (_tx, body) = Channel::<Bytes, Infallible>::new(1);
    let timeout = Duration::from_millis(10);
    let read = bodies.read(body, 10, timeout).await;
    assert_matches!(read, Err(BodyError::TooSlow { .. }));
    assert_eq!(bodies.held(), 0);
}

#[rstest]
#[case::nothing(&[0])]
#[case::one_byte(&[1])]
#[case::below_a_segment(&[100, 200, 5_000])]
#[case::one_segment(&[32 * KB])]
#[case::across_a_segment(&[32 * KB - 1, 2, 1])]
#[case::many_segments(&[300, 100 * KB, 1, 90 * KB])]
#[tokio::test]
async fn the_bytes_of_all_chunks_are_read_in_order(#[case] chunks: &[usize]) {
    let (mut tx, body) = Channel::<_, Infallible>::new(chunks.len());
    let bytes = chunks.iter().sum();
    let sent: Vec<u8> = (0..bytes).map(|at| at.to_le_bytes()[at % 3]).collect();
    let mut rest = &sent[..];
    for chunk in chunks {
        let (chunk, others) = rest.split_at(*chunk);
        tx.send_data(Bytes::copy_from_slice(chunk)).await.unwrap();
        rest = others;
    }
    drop(tx);
    let bodies = Bodies::new(bounds());
    let body = bodies.read(body, 1024 * KB, TIMEOUT).await.unwrap();
    assert!(**body == sent[..]);
}
