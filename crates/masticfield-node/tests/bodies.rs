//! Reading bodies.

use std::convert::Infallible;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use http_body_util::channel::Channel;
use masticfield_node::http::{BodyError, read_body};
use rstest::rstest;

const KB: usize = 1024;

/// Time limit that no body of these tests reaches.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Number of turns in which a reader takes all chunks that have arrived.
const YIELDS: usize = 100;

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
async fn a_body_that_declares_too_much_is_refused_at_once() {
    let read = read_body(Full::new(Bytes::from_static(b"xx")), 1, TIMEOUT).await;
    assert_matches!(read, Err(BodyError::TooLarge { limit: 1 }));
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
    let body = read_body(body, 1024 * KB, TIMEOUT).await.unwrap();
    assert!(body == sent);
}
